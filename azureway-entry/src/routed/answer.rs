//! Writing of the answer to a routed caller while attempts start, fail and complete.

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
use crate::memory::{CHUNK_COST, MemoryHold};

/// The size of a piece of a stream, in bytes, after which the caller counts as having taken it.
const PIECE: usize = 16 * 1024;

/// Writes the answer to one request, over all its attempts.
pub struct RoutedAnswer<'a> {
    stream: &'a TcpStream,
    id: RequestId,
    deadline: Instant,
    close: bool,
    attempted: bool,
    fallback: Option<(Box<AnswerHead>, Vec<u8>)>,
    writer: Option<Encoder<&'a TcpStream>>,
    hold: Option<&'a MemoryHold>,
}

impl<'a> RoutedAnswer<'a> {
    /// Creates the writer of the answer to request `id`, which is cancelled at `deadline`. With
    /// `close`, the answer states that the connection closes after it.
    pub const fn new(stream: &'a TcpStream, id: RequestId, deadline: Instant, close: bool) -> Self {
        Self {
            stream,
            id,
            deadline,
            close,
            attempted: false,
            fallback: None,
            writer: None,
            hold: None,
        }
    }

    /// Sets the memory that is held for the request.
    #[must_use]
    pub const fn with_hold(mut self, hold: &'a MemoryHold) -> Self {
        self.hold = Some(hold);
        self
    }

    /// Writes the answer as the updates of the request arrive. A request that reaches its deadline
    /// is cancelled through `decide`.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnects.
    pub fn run(
        &mut self,
        updates: &Receiver<RequestUpdate>,
        decide: &flume::Sender<DecideMessage>,
    ) -> io::Result<AnswerEnd> {
        loop {
            match updates.recv_deadline(self.deadline) {
                Ok(RequestUpdate::Refused(_, refusal)) => return self.refuse(&refusal),
                Ok(RequestUpdate::AttemptStarted { chunks, .. }) => {
                    self.attempted = true;
                    if !is_open(self.stream)? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    if let Some(end) = self.forward(&chunks)? {
                        return Ok(end);
                    }
                }
                Err(RecvTimeoutError::Timeout) => return self.cancel(updates, decide),
                Err(RecvTimeoutError::Disconnected) => return self.end_given_up(),
            }
        }
    }

    /// Forwards the chunks of one attempt. Returns how the answer ended, or `None` if the attempt
    /// did not complete it.
    fn forward(&mut self, chunks: &Receiver<AnswerChunk>) -> io::Result<Option<AnswerEnd>> {
        // The loop ends if the attempt ends without an answer or the deadline passes. The next
        // update then states what becomes of the request.
        while let Ok(chunk) = chunks.recv_deadline(self.deadline) {
            match chunk {
                AnswerChunk::Forwarded(head, _) if self.writer.is_some() => {
                    log::warn!(request:% = self.id, step = "answer", status = head.status; "a stream cannot go on with another answer");
                    return Ok(Some(AnswerEnd::Aborted));
                }
                AnswerChunk::Forwarded(head, body) => {
                    self.responder().write_complete(&head, &body)?;
                    return Ok(Some(AnswerEnd::complete(self.close)));
                }
                AnswerChunk::Fallback(head, body) => self.fallback = Some((head, body)),
                AnswerChunk::StreamHead(head) => self.start_stream(&head)?,
                AnswerChunk::StreamBytes(bytes) => {
                    self.write_events(&bytes)?;
                    if let Some(hold) = self.hold {
                        let size = bytes.capacity() + CHUNK_COST;
                        hold.take(size - bytes.len());
                        hold.shrink(size);
                    }
                }
                AnswerChunk::End => {
                    // Dropping the writer writes the last chunk.
                    self.writer = None;
                    return Ok(Some(AnswerEnd::complete(self.close)));
                }
                AnswerChunk::Event(..) | AnswerChunk::Complete(..) => {
                    return Err(io::Error::other("unexpected chunk of a relayed answer"));
                }
            }
        }
        Ok(None)
    }

    /// Writes events piece by piece, and records what the caller takes.
    fn write_events(&mut self, bytes: &[u8]) -> io::Result<()> {
        for piece in bytes.chunks(PIECE) {
            if let Some(writer) = &mut self.writer {
                writer.write_all(piece)?;
            }
            if let Some(hold) = self.hold {
                hold.take(piece.len());
            }
        }
        Ok(())
    }

    /// Writes the response head of a stream, unless an earlier attempt has written it.
    fn start_stream(&mut self, head: &AnswerHead) -> io::Result<()> {
        if self.writer.is_none() {
            self.writer = Some(self.responder().start_stream(head)?);
        }
        Ok(())
    }

    /// Ends a request that was cancelled: its caller has disconnected, or there was no memory for its
    /// answer.
    fn end_given_up(&mut self) -> io::Result<AnswerEnd> {
        if self.writer.is_some() || !is_open(self.stream)? {
            return Ok(AnswerEnd::Aborted);
        }
        let detail = "the answer was given up";
        self.refuse(&Refusal::maybe_run(RefusalReason::ServerFailed, detail))
    }

    fn responder(&self) -> RoutedResponder<'a> {
        RoutedResponder::new(self.stream, self.close).with_hold(self.hold)
    }

    fn refuse(&mut self, refusal: &Refusal) -> io::Result<AnswerEnd> {
        if self.writer.is_some() {
            return Ok(AnswerEnd::Aborted);
        }
        let responder = self.responder();
        match self.fallback.take() {
            Some((head, body)) if !refusal.not_run => responder.write_complete(&head, &body)?,
            _ => responder.refuse(refusal)?,
        }
        Ok(AnswerEnd::complete(self.close))
    }

    /// Cancels the request and refuses it. The refusal says that it did not run only if no attempt
    /// had started when the router removed it.
    fn cancel(
        &mut self,
        updates: &Receiver<RequestUpdate>,
        decide: &flume::Sender<DecideMessage>,
    ) -> io::Result<AnswerEnd> {
        let _ = decide.send(DecideMessage::CallerDisconnected(self.id));
        for update in updates.iter() {
            match update {
                RequestUpdate::AttemptStarted { .. } => self.attempted = true,
                RequestUpdate::Refused(_, refusal) => return self.refuse(&refusal),
            }
        }
        let detail = "the time for the answer has passed";
        let refusal = if self.attempted {
            Refusal::maybe_run(RefusalReason::Deadline, detail)
        } else {
            Refusal::not_run(RefusalReason::Deadline, detail)
        };
        log::info!(
            request:% = self.id, step = "answer", code = refusal.reason.code(),
            sent = self.attempted; "given up"
        );
        self.refuse(&refusal)
    }
}

impl Drop for RoutedAnswer<'_> {
    fn drop(&mut self) {
        if self.writer.is_some() {
            // Dropping the writer writes the last chunk, which would make an interrupted stream
            // look complete. Closing the connection first keeps that chunk from the caller.
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
    }
}
