//! Writing of the answer to a caller while attempts start, fail and complete.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};

use azureway_core::prelude::*;
use azureway_wire::error::ErrorBody;
use chunked_transfer::Encoder;
use flume::Receiver;

use super::{AnswerChunk, CompletionBuilder, RequestUpdate, Responder, is_open};
use crate::memory::{CHUNK_COST, MemoryHold};

/// The answer to one request over all its attempts, written as a stream or as one completion.
pub struct Answer<'a> {
    stream: &'a TcpStream,
    streamed: bool,
    completion: CompletionBuilder,
    progress: Option<StreamProgress>,
    writer: Option<Encoder<&'a TcpStream>>,
    id: Option<RequestId>,
    hold: Option<&'a MemoryHold>,
}

impl<'a> Answer<'a> {
    /// Creates the answer to a caller. The update about the first attempt tells whether the caller
    /// asked for a stream.
    pub fn new(stream: &'a TcpStream) -> Self {
        let completion = CompletionBuilder::new();
        Self {
            stream,
            streamed: false,
            completion,
            progress: None,
            writer: None,
            id: None,
            hold: None,
        }
    }

    /// Sets the memory that is held for the request.
    #[must_use]
    pub const fn with_hold(mut self, hold: &'a MemoryHold) -> Self {
        self.hold = Some(hold);
        self
    }

    /// Returns the ID of the request once it is known.
    pub const fn id(&self) -> Option<RequestId> {
        self.id
    }

    /// Writes the answer as the updates of the request arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnects or the stream has a gap.
    pub fn run(&mut self, updates: &Receiver<RequestUpdate>) -> io::Result<()> {
        let result = self.follow(updates);
        if result.is_err() {
            // Dropping the writer writes the last chunk, which would make an interrupted stream look
            // complete. Closing the connection first keeps that chunk from the caller.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
        result
    }

    fn follow(&mut self, updates: &Receiver<RequestUpdate>) -> io::Result<()> {
        loop {
            match next(updates) {
                RequestUpdate::Refused(id, refusal) => return self.refuse(id, &refusal),
                RequestUpdate::AttemptStarted {
                    attempt,
                    streamed,
                    chunks,
                } => {
                    self.streamed = streamed;
                    self.start_attempt(attempt);
                    self.check_caller()?;
                    if self.write_chunks(attempt, &chunks)? {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        self.id = Some(attempt.id);
        let progress = self
            .progress
            .get_or_insert_with(|| StreamProgress::new(attempt));
        progress.switch_to(attempt);
    }

    /// Fails if the caller has disconnected while its request was queued.
    fn check_caller(&self) -> io::Result<()> {
        match is_open(self.stream)? {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Writes the chunks of one attempt. Returns whether the answer is complete.
    fn write_chunks(
        &mut self,
        attempt: Attempt,
        chunks: &Receiver<AnswerChunk>,
    ) -> io::Result<bool> {
        while let Ok(chunk) = chunks.recv() {
            match chunk {
                AnswerChunk::Event(position, data) => {
                    self.write_event(attempt, position, &data)?;
                    self.release(data.len() + CHUNK_COST);
                }
                AnswerChunk::Complete(status, media, body) => {
                    self.responder().write_complete(status, &media, &body)?;
                    return Ok(true);
                }
                AnswerChunk::End => return self.finish().map(|()| true),
                AnswerChunk::StreamHead(_)
                | AnswerChunk::StreamBytes(_)
                | AnswerChunk::Forwarded(..)
                | AnswerChunk::Fallback(..) => {
                    return Err(io::Error::other("a chunk that this interface does not use"));
                }
            }
        }
        Ok(false)
    }

    /// Records that an event was taken. The events of an answer that is assembled stay in memory.
    fn release(&self, size: usize) {
        if let Some(hold) = self.hold {
            hold.take(size);
            if self.streamed {
                hold.shrink(size);
            }
        }
    }

    fn write_event(
        &mut self,
        attempt: Attempt,
        position: StreamPosition,
        data: &str,
    ) -> io::Result<()> {
        let progress = self
            .progress
            .get_or_insert_with(|| StreamProgress::new(attempt));
        match progress.accept(attempt, position) {
            Delivery::Stale => Ok(()),
            Delivery::Gap => Err(io::Error::other("events of the stream are missing")),
            Delivery::Next if self.streamed => {
                self.write(&format!("id: {position}\ndata: {data}\n\n"))
            }
            Delivery::Next => {
                self.completion.push(data);
                Ok(())
            }
        }
    }

    fn finish(&mut self) -> io::Result<()> {
        if self.streamed {
            return self.write("");
        }
        let body = std::mem::take(&mut self.completion).into_body();
        self.responder()
            .write_complete(200, "application/json", &body)
    }

    fn refuse(&mut self, id: RequestId, refusal: &Refusal) -> io::Result<()> {
        self.id = Some(id);
        if self.writer.is_none() {
            return self.responder().refuse(refusal);
        }
        let body = serde_json::to_string(&ErrorBody::from(refusal))?;
        self.write(&format!("event: error\ndata: {body}\n\n"))
    }

    /// Writes text as one HTTP chunk, preceded by the response head if it is the first.
    fn write(&mut self, text: &str) -> io::Result<()> {
        if self.writer.is_none() {
            self.writer = Some(self.responder().start_stream()?);
        }
        match &mut self.writer {
            // The encoder would end the stream on an empty write.
            Some(writer) if !text.is_empty() => writer.write_all(text.as_bytes()),
            _ => Ok(()),
        }
    }

    fn responder(&self) -> Responder<'a> {
        let responder = Responder::new(self.stream).with_hold(self.hold);
        match self.id {
            Some(id) => responder.with_id(id),
            None => responder,
        }
    }
}

/// Waits for the next update. If the deciding duty has ended, the request counts as refused.
fn next(updates: &Receiver<RequestUpdate>) -> RequestUpdate {
    updates.recv().unwrap_or_else(|_| {
        let refusal = Refusal::maybe_run(RefusalReason::ServerFailed, "the request was given up");
        RequestUpdate::Refused(RequestId::new(0, 0), refusal)
    })
}
