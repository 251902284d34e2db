//! Reading the events of a chat stream from a backend server.

use std::io::{BufRead, BufReader, Read};

use azureway_core::prelude::{ServerId, StreamPosition};
use azureway_wire::sse::SseLine;

use super::{AttemptError, BROKEN};

/// Reads the events of one stream. The bytes from one new event to the next are bounded.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: BufReader<R>,
    line: String,
    data: String,
    /// The number of bytes since the last new event.
    since_event: usize,
}

/// The largest number of bytes of a stream from one new event to the next. It includes comments
/// and the events that a resumed stream repeats.
const MAX_EVENT_SIZE: usize = 1024 * 1024;

impl<R: Read> EventReader<R> {
    /// Creates a reader of the events in a response body.
    pub fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
            line: String::new(),
            data: String::new(),
            since_event: 0,
        }
    }

    /// Reads the next event with data. Returns its position, if it has one, and its data. `server`
    /// is named in the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer fails or ends, or if the stream makes no progress.
    pub fn next_event(
        &mut self,
        server: &ServerId,
    ) -> Result<(Option<StreamPosition>, &str), AttemptError> {
        self.data.clear();
        let mut position = None;
        loop {
            self.read_line()?;
            if self.since_event > MAX_EVENT_SIZE {
                log::warn!(step = "relay", peer:% = server, bytes = self.since_event; "the stream has no new event");
                return Err(BROKEN);
            }
            match SseLine::parse(&self.line) {
                SseLine::Id(id) => position = Some(StreamPosition::new(id)),
                SseLine::Data(text) => self.data.push_str(text),
                SseLine::End if self.data.is_empty() => {}
                SseLine::End => return Ok((position, &self.data)),
                SseLine::Other => {}
            }
        }
    }

    /// Records that the last event was new.
    pub const fn record_progress(&mut self) {
        self.since_event = 0;
    }

    /// Reads one line. The end of the answer before its last event is an error.
    fn read_line(&mut self) -> Result<(), AttemptError> {
        self.line.clear();
        let count = (&mut self.reader)
            .take(MAX_EVENT_SIZE as u64)
            .read_line(&mut self.line)
            .map_err(|e| AttemptError::from_read(&e))?;
        if count == 0 || !self.line.ends_with('\n') {
            return Err(BROKEN);
        }
        self.since_event += count;
        Ok(())
    }
}
