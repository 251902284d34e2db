//! The answer to one request of a routed caller.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Instant;

use azureway_core::prelude::{Refusal, RefusalReason, RequestId};
use chunked_transfer::Encoder;
use flume::{Receiver, RecvTimeoutError};

use super::{AnswerEnd, RoutedResponder};
use crate::caller::{AnswerChunk, RequestUpdate, is_open};
use crate::decide::DecideMessage;
use crate::exchange::AnswerHead;

/// The answer to one request, over all its tries.
pub struct RoutedAnswer<'a> {
    stream: &'a TcpStream,
    id: RequestId,
    limit: Instant,
    close: bool,
    sent: bool,
    held: Option<(Box<AnswerHead>, Vec<u8>)>,
    writer: Option<Encoder<&'a TcpStream>>,
}

impl<'a> RoutedAnswer<'a> {
    /// Creates the answer to request `id`, which is given up at `limit`. `close` tells whether
    /// the connection ends with it.
    pub const fn new(stream: &'a TcpStream, id: RequestId, limit: Instant, close: bool) -> Self {
        Self {
            stream,
            id,
            limit,
            close,
            sent: false,
            held: None,
            writer: None,
        }
    }

    /// Writes the answer as the outcomes come. `decide` hears of a request that is given up.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller hangs up.
    pub fn run(
        &mut self,
        updates: &Receiver<RequestUpdate>,
        decide: &flume::Sender<DecideMessage>,
    ) -> io::Result<AnswerEnd> {
        loop {
            match updates.recv_deadline(self.limit) {
                Ok(RequestUpdate::Refused(_, refusal)) => return self.refuse(&refusal),
                Ok(RequestUpdate::AttemptStarted { chunks, .. }) => {
                    self.sent = true;
                    if !is_open(self.stream)? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    if let Some(ending) = self.pass_on(&chunks)? {
                        return Ok(ending);
                    }
                }
                Err(RecvTimeoutError::Timeout) => return self.give_up(updates, decide),
                // The request was taken back because its caller is gone.
                Err(RecvTimeoutError::Disconnected) => return Ok(AnswerEnd::Broken),
            }
        }
    }

    /// Passes on the chunks of one try. Returns how the answer ended, if it did.
    fn pass_on(&mut self, chunks: &Receiver<AnswerChunk>) -> io::Result<Option<AnswerEnd>> {
        // A try that ends without an answer, or that runs out of time, ends the ring or the
        // wait; what becomes of the request is then told by its updates.
        while let Ok(chunk) = chunks.recv_deadline(self.limit) {
            match chunk {
                AnswerChunk::Forwarded(head, body) => {
                    RoutedResponder::new(self.stream, self.close).pass(&head, &body)?;
                    return Ok(Some(AnswerEnd::complete(self.close)));
                }
                AnswerChunk::Fallback(head, body) => self.held = Some((head, body)),
                AnswerChunk::StreamHead(head) => self.begin(&head)?,
                AnswerChunk::StreamBytes(bytes) => {
                    if let Some(writer) = &mut self.writer {
                        writer.write_all(&bytes)?;
                    }
                }
                AnswerChunk::End => {
                    // Dropping the writer writes the last chunk.
                    self.writer = None;
                    return Ok(Some(AnswerEnd::complete(self.close)));
                }
                AnswerChunk::Event(..) | AnswerChunk::Complete(..) => {
                    return Err(io::Error::other("a chunk of another interface"));
                }
            }
        }
        Ok(None)
    }

    /// Writes the head of a stream, unless an earlier try has.
    fn begin(&mut self, head: &AnswerHead) -> io::Result<()> {
        if self.writer.is_none() {
            let responder = RoutedResponder::new(self.stream, self.close);
            self.writer = Some(responder.stream(head)?);
        }
        Ok(())
    }

    fn refuse(&mut self, refusal: &Refusal) -> io::Result<AnswerEnd> {
        if self.writer.is_some() {
            return Ok(AnswerEnd::Broken);
        }
        let responder = RoutedResponder::new(self.stream, self.close);
        match self.held.take() {
            Some((head, body)) if !refusal.not_run => responder.pass(&head, &body)?,
            _ => responder.refuse(refusal)?,
        }
        Ok(AnswerEnd::complete(self.close))
    }

    /// Takes the request back and answers for it. It counts as not run only if no try had
    /// begun when the decisions let go of it.
    fn give_up(
        &mut self,
        updates: &Receiver<RequestUpdate>,
        decide: &flume::Sender<DecideMessage>,
    ) -> io::Result<AnswerEnd> {
        let _ = decide.send(DecideMessage::CallerDisconnected(self.id));
        for update in updates.iter() {
            match update {
                RequestUpdate::AttemptStarted { .. } => self.sent = true,
                RequestUpdate::Refused(_, refusal) => return self.refuse(&refusal),
            }
        }
        let detail = "the time for the answer has passed";
        let refusal = if self.sent {
            Refusal::maybe_run(RefusalReason::Deadline, detail)
        } else {
            Refusal::not_run(RefusalReason::Deadline, detail)
        };
        log::info!(
            request:% = self.id, step = "answer", code = refusal.reason.code(),
            sent = self.sent; "given up"
        );
        self.refuse(&refusal)
    }
}

impl Drop for RoutedAnswer<'_> {
    fn drop(&mut self) {
        if self.writer.is_some() {
            // Dropping the writer writes the last chunk, by which a stream that broke off
            // would look complete; on a closed connection it does not reach the caller.
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
    }
}
