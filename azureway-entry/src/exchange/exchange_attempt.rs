//! One attempt of the exchange, from taking a connection to reporting the outcome.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use flume::Sender;

use super::{
    AnswerHead, BackendConnection, BackendDialect, BodyMemory, BodyReservation, BodyStream,
    CancelHandle, ConnectionPool, EventSplitter, Framing,
};
use crate::admit::{Passthrough, UpstreamRequest};
use crate::caller::AnswerChunk;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::memory::{BodyBuffer, CHUNK_COST};
use crate::relay::{AttemptError, BROKEN, FAULTY, log_invalid_head};

/// One attempt at a request: sends it unchanged to a backend server and forwards the answer.
#[derive(Debug)]
pub struct ExchangeAttempt<D> {
    /// The routing decision: the server and the state of the request.
    pub dispatch: Dispatch,
    /// The request to send.
    pub upstream: Arc<UpstreamRequest>,
    /// The ring of answer chunks to the caller's connection.
    pub chunks: Sender<AnswerChunk>,
    /// The ring to the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// The dialect that writes and reads the headers of the site's backend servers.
    pub dialect: D,
    /// The idle connections to backend servers.
    pub pool: ConnectionPool,
    /// The bound on the memory of the answers that all attempts read.
    pub memory: BodyMemory,
    /// The handle through which the attempt is cancelled.
    pub handle: Arc<CancelHandle>,
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The time after sending within which a kept connection that breaks counts as closed by the server
    /// while it was idle.
    pub resend_limit: Duration,
    /// The clock that the deadline refers to.
    pub clock: Clock,
    /// The position of the next event that the caller has not received.
    pub next_position: StreamPosition,
    /// The number of events forwarded, counted as output tokens. A whole answer counts as one.
    pub output: TokenCount,
}

/// The largest body of a rejection that is read so that its connection can be reused, in bytes.
const MAX_REJECTION_SIZE: u64 = 64 * 1024;
/// The largest number of bytes of a stream from one new event to the next. It includes the events
/// that a resumed stream repeats.
const MAX_EVENT_SIZE: usize = 1024 * 1024;
/// The size of the buffer for reads from an answer, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// The size of the buffer for reads from a stream, in bytes. What is read at once waits together for
/// its caller.
const STREAM_READ_SIZE: usize = 4 * 1024;

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Runs the attempt and reports its outcome to the deciding duty.
    pub fn run(mut self) {
        let attempt = self.dispatch.attempt;
        self.upstream.link.set_account(&self.upstream.account);
        if !self.upstream.link.attach(&self.handle) {
            return;
        }
        let result = match self.upstream.passthrough.clone() {
            Some(passthrough) => self.exchange(&passthrough),
            None => Err(AttemptError::Server(FailureKind::Faulty, SendState::Unsent)),
        };
        let message = match result {
            Ok(()) => DecideMessage::Finished(Finish {
                attempt,
                cached: TokenCount::ZERO,
                output: self.output,
            }),
            // No report is needed: a disconnect is reported by the caller's connection, and whoever
            // cancelled the attempt has reported why.
            Err(_) if self.handle.is_cancelled() => return,
            Err(error) if self.handle.is_recalled() => self.recalled_message(error),
            Err(AttemptError::CallerDisconnected) => return,
            Err(AttemptError::Server(kind, sent)) => self.failure_message(kind, sent),
        };
        // The send fails only if the deciding duty has ended.
        let _ = self.decide.send(message);
    }

    fn exchange(&mut self, passthrough: &Passthrough) -> Result<(), AttemptError> {
        let (mut connection, head) = self.send_request(passthrough)?;
        let metadata = self.dialect.read(&head);
        self.report_metadata(&metadata);
        let framing = Framing::from_head(&head, &self.upstream.method);
        let framing = framing.map_err(|e| {
            log_invalid_head(&self.dispatch, &e);
            BROKEN
        })?;
        let rejected = metadata.mismatch || metadata.rejected;
        connection.set_rejected(passthrough.attempt_id.as_deref().filter(|_| rejected));
        if rejected {
            let kind = match metadata.mismatch {
                true => FailureKind::Mismatch,
                false => FailureKind::Busy,
            };
            if discard_body(connection.body(framing), MAX_REJECTION_SIZE).is_ok() {
                self.release(connection, &head)?;
            }
            return Err(AttemptError::Server(kind, SendState::Rejected));
        }
        let encoded = head.get("content-encoding").is_some();
        match head.status {
            200..=299 if !metadata.signed || encoded => Err(FAULTY),
            200..=299 if head.is_event_stream() => self.forward_stream(connection, head, framing),
            // The caller has part of a stream. Anything else would end up in the middle of it.
            ..500 if self.next_position > StreamPosition::ZERO => Err(FAULTY),
            408 | 421 | 429 | 500..=599 => {
                let signed = metadata.signed;
                self.offer_fallback(connection, head, framing, signed)
            }
            _ => self.forward_complete(connection, head, framing),
        }
    }

    /// Reads the whole answer and forwards it.
    fn forward_complete(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
    ) -> Result<(), AttemptError> {
        self.report_start()?;
        let body = self.read_body(connection.body(framing), framing)?;
        self.release(connection, &head)?;
        if matches!(head.status, 200..=299) {
            self.output += TokenCount::new(1);
        }
        // The server has completed the request even if the caller has disconnected.
        let _ = self
            .chunks
            .send(AnswerChunk::Forwarded(Box::new(head), body));
        Ok(())
    }

    /// Passes an error answer of the server to the caller's connection, which returns it to the
    /// caller if no later attempt succeeds.
    fn offer_fallback(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
        signed: bool,
    ) -> Result<(), AttemptError> {
        let body = self.read_body(connection.body(framing), framing)?;
        self.release(connection, &head)?;
        // These statuses would tell the caller that the request did not run, which the server has
        // not stated.
        let implies_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        if signed && !implies_not_run {
            let _ = self
                .chunks
                .send(AnswerChunk::Fallback(Box::new(head), body));
        }
        Err(AttemptError::Server(
            FailureKind::Declined,
            SendState::MaybeRun,
        ))
    }

    /// Forwards the events of a stream as they become complete, and the head with the first of them.
    fn forward_stream(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
    ) -> Result<(), AttemptError> {
        // The deadline applies to the first token. The router cancels a stream at the time limit of
        // its route.
        connection.set_deadline(None);
        if !self.handle.answer() {
            return Err(BROKEN);
        }
        // Until the caller has the head, a failed attempt can still be answered as one.
        let mut start = Some(AnswerChunk::StreamHead(Box::new(head.clone())));
        let mut body = connection.body(framing);
        let mut splitter = EventSplitter::new();
        let mut buffer = vec![0; STREAM_READ_SIZE];
        let mut since_event = 0;
        let mut held = self.memory.reserve();
        loop {
            let count = body
                .read(&mut buffer)
                .map_err(|e| AttemptError::from_read(&e))?;
            if count == 0 {
                break;
            }
            splitter.push(&buffer[..count]);
            let events = self.new_events(&mut splitter)?;
            if events.is_empty() {
                since_event += count;
                self.check_event(&mut held, count, since_event)?;
                continue;
            }
            since_event = 0;
            held = self.memory.reserve();
            start.take().map_or(Ok(()), |head| self.send_chunk(head))?;
            self.send_bytes(events)?;
        }
        // A server that crashes as it begins to write ends the connection like a server that is done.
        let empty = framing == Framing::Closing && self.next_position == StreamPosition::ZERO;
        if empty || !splitter.remainder().is_empty() {
            return Err(BROKEN);
        }
        drop(body);
        self.release(connection, &head)?;
        start.map_or(Ok(()), |head| self.send_chunk(head))?;
        self.send_chunk(AnswerChunk::End)
    }

    /// Adds `count` bytes without a new event to those that are `held`. `size` is the number of bytes since
    /// the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes take too much memory, or if there are too many.
    fn check_event(
        &self,
        held: &mut BodyReservation,
        count: usize,
        size: usize,
    ) -> Result<(), AttemptError> {
        let reserved = held.grow(count);
        if reserved && size <= MAX_EVENT_SIZE {
            return Ok(());
        }
        log::warn!(request:% = self.dispatch.attempt.id, step = "exchange", peer:% = self.dispatch.server, bytes = size, reserved = reserved; "the stream has no new event");
        Err(BROKEN)
    }

    /// Returns the bytes of the complete events that the caller has not received yet.
    fn new_events(&mut self, splitter: &mut EventSplitter) -> Result<Vec<u8>, AttemptError> {
        let mut bytes = Vec::new();
        while let Some(event) = splitter.next_event() {
            let position = event.id.map(StreamPosition::new);
            if position.is_some_and(|p| p < self.next_position) {
                continue;
            }
            if self.output == TokenCount::ZERO {
                self.report_start()?;
            }
            bytes.extend_from_slice(event.bytes);
            self.next_position = position.map_or(self.next_position, StreamPosition::next);
            self.output += TokenCount::new(1);
        }
        Ok(bytes)
    }

    /// Reads a body into memory.
    fn read_body(
        &self,
        mut body: BodyStream<'_>,
        framing: Framing,
    ) -> Result<Vec<u8>, AttemptError> {
        let mut reservation = self.memory.reserve();
        let mut bytes = BodyBuffer::new(self.upstream.link.hold());
        let mut buffer = vec![0; READ_SIZE];
        if let Framing::Sized(length) = framing {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            bytes.reserve(length).map_err(|e| self.unread(&e, length))?;
        }
        loop {
            let count = body
                .read(&mut buffer)
                .map_err(|e| AttemptError::from_read(&e))?;
            if count == 0 {
                return Ok(bytes.finish());
            }
            if !reservation.grow(count) {
                let error = io::ErrorKind::InvalidData.into();
                return Err(self.unread(&error, bytes.len()));
            }
            let pushed = bytes.push(&buffer[..count]);
            pushed.map_err(|e| self.unread(&e, bytes.len()))?;
        }
    }

    /// Returns the error of an answer that is not read beyond `size` bytes.
    fn unread(&self, error: &io::Error, size: usize) -> AttemptError {
        match error.kind() {
            io::ErrorKind::OutOfMemory => self.full(size),
            _ => BROKEN,
        }
    }

    /// Gives up the request, since there is no memory for `size` bytes of its answer. Another server would
    /// send as much, so that it is not tried again.
    fn full(&self, size: usize) -> AttemptError {
        log::warn!(request:% = self.dispatch.attempt.id, step = "exchange", account:% = self.upstream.account, peer:% = self.dispatch.server, bytes = size; "the answer takes too much memory");
        let given_up = DecideMessage::CallerDisconnected(self.dispatch.attempt.id);
        // The send fails only if the deciding duty has ended.
        let _ = self.decide.send(given_up);
        // The server is sound.
        AttemptError::Server(FailureKind::Declined, SendState::MaybeRun)
    }

    /// Reports that the answer has begun.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt was recalled before.
    fn report_start(&self) -> Result<(), AttemptError> {
        if !self.handle.begin() {
            return Err(BROKEN);
        }
        let _ = self
            .decide
            .send(DecideMessage::Started(self.dispatch.attempt));
        Ok(())
    }

    /// Sends bytes of a stream, which count towards the memory of the process until the caller has taken
    /// them.
    fn send_bytes(&self, events: Vec<u8>) -> Result<(), AttemptError> {
        let (hold, size) = (self.upstream.link.hold(), events.capacity() + CHUNK_COST);
        if !hold.grow(size) {
            return Err(self.full(size));
        }
        hold.queue(size);
        self.send_chunk(AnswerChunk::StreamBytes(events))
    }

    fn send_chunk(&self, chunk: AnswerChunk) -> Result<(), AttemptError> {
        self.chunks
            .send(chunk)
            .map_err(|_| AttemptError::CallerDisconnected)
    }

    /// Returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt was cancelled or recalled. Cancelling closes the connection, which then
    /// looks like the end of a body that ends with its connection.
    fn release(
        &self,
        connection: BackendConnection,
        head: &AnswerHead,
    ) -> Result<(), AttemptError> {
        if !self.handle.detach() {
            return Err(AttemptError::CallerDisconnected);
        }
        self.pool.put(self.dispatch.address, connection, head);
        Ok(())
    }
}

/// Reads and drops a body of at most `limit` bytes.
pub(super) fn discard_body(body: BodyStream<'_>, limit: u64) -> io::Result<()> {
    let count = io::copy(&mut body.take(limit + 1), &mut io::sink())?;
    if count > limit {
        return Err(io::Error::other("the body of the answer is too large"));
    }
    Ok(())
}
