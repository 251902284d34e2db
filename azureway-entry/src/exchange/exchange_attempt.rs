//! One try at a backend server.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use flume::Sender;

use super::{
    AnswerHead, BackendConnection, BackendDialect, BodyStream, CancelHandle, ConnectionPool,
    EventSplitter, Framing,
};
use crate::admit::{Passthrough, UpstreamRequest};
use crate::caller::AnswerChunk;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::relay::AttemptError;

/// One try at a backend server: sends the request as it came and passes the answer on.
#[derive(Debug)]
pub struct ExchangeAttempt<D> {
    /// What is to be sent where.
    pub dispatch: Dispatch,
    /// The request's bytes.
    pub upstream: Arc<UpstreamRequest>,
    /// The ring to the caller's connection.
    pub chunks: Sender<AnswerChunk>,
    /// The deciding duty.
    pub decide: Sender<DecideMessage>,
    /// How the backend server is spoken to.
    pub dialect: D,
    /// The connections that wait for a request.
    pub pool: ConnectionPool,
    /// The side of the try that others hold.
    pub handle: Arc<CancelHandle>,
    /// The time in which a connection must be made.
    pub connect_timeout: Duration,
    /// The clock.
    pub clock: Clock,
    /// The position of the next event that the caller has not got.
    pub next_position: StreamPosition,
    /// The events that were passed on.
    pub output: TokenCount,
}

/// The bytes of a whole answer at most.
const WHOLE_MAX: u64 = 16 * 1024 * 1024;
/// The bytes of a stream that are read at once.
const READ_SIZE: usize = 16 * 1024;

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Runs the try and reports how it ended.
    pub fn run(mut self) {
        let attempt = self.dispatch.attempt;
        let result = match self.upstream.passthrough.clone() {
            Some(passthrough) => self.serve(&passthrough),
            None => Err(AttemptError::Server(FailureKind::Faulty, SendState::Unsent)),
        };
        let message = match result {
            Ok(()) => DecideMessage::Finished(Finish {
                attempt,
                cached: TokenCount::ZERO,
                output: self.output,
            }),
            // Whoever stopped the try, or the connection itself, has reported it.
            Err(_) if self.handle.is_cancelled() => return,
            Err(AttemptError::CallerDisconnected) => return,
            Err(AttemptError::Server(kind, sent)) => self.failure(kind, sent),
        };
        // Only a deciding duty that has ended takes no message.
        let _ = self.decide.send(message);
    }

    fn failure(&self, kind: FailureKind, sent: SendState) -> DecideMessage {
        if matches!(kind, FailureKind::Unreachable | FailureKind::Broken) {
            // Whatever lost this connection has most likely lost the idle ones too.
            self.pool.purge(self.dispatch.address);
        }
        DecideMessage::Failed(Failure {
            attempt: self.dispatch.attempt,
            kind,
            sent,
            position: self.next_position,
        })
    }

    fn serve(&mut self, passthrough: &Passthrough) -> Result<(), AttemptError> {
        let (mut connection, head) = self.ask(passthrough)?;
        let metadata = self.dialect.read(&head);
        let (load, weights) = (metadata.load, metadata.weights);
        if load.is_some() || weights.is_some() {
            let server = self.dispatch.server.clone();
            let sample = LoadSample {
                server,
                load,
                weights,
            };
            let _ = self.decide.send(DecideMessage::LoadSample(sample));
        }
        let framing = Framing::of(&head, &self.upstream.method);
        let framing = framing.ok_or(BROKEN)?;
        if metadata.mismatch || metadata.rejected {
            let kind = match metadata.mismatch {
                true => FailureKind::Mismatch,
                false => FailureKind::Busy,
            };
            if read_whole(connection.body(framing)).is_ok() {
                self.keep(connection, &head);
            }
            return Err(AttemptError::Server(kind, SendState::Rejected));
        }
        let encoded = head.get("content-encoding").is_some();
        match head.status {
            200..=299 if !metadata.signed || encoded => Err(FAULTY),
            200..=299 if head.is_event_stream() => self.pass_events(connection, head, framing),
            408 | 421 | 429 | 500..=599 => {
                let signed = metadata.signed;
                self.hold(connection, head, framing, signed)
            }
            _ => self.pass_whole(connection, head, framing),
        }
    }

    fn pass_whole(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
    ) -> Result<(), AttemptError> {
        self.note_start();
        let body = read_whole(connection.body(framing)).map_err(|e| AttemptError::from_read(&e))?;
        self.keep(connection, &head);
        // The server has run the request to its end, also if the caller is gone.
        let _ = self
            .chunks
            .send(AnswerChunk::Forwarded(Box::new(head), body));
        Ok(())
    }

    /// Hands a failure of the server's own to the connection, which gives it to the caller if
    /// no other server does better.
    fn hold(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
        signed: bool,
    ) -> Result<(), AttemptError> {
        let body = read_whole(connection.body(framing)).map_err(|e| AttemptError::from_read(&e))?;
        self.keep(connection, &head);
        // These statuses would tell the caller that the request did not run, which the server
        // has not said.
        let promise = matches!(head.status, 408 | 421 | 429 | 503);
        if signed && !promise {
            let _ = self
                .chunks
                .send(AnswerChunk::Fallback(Box::new(head), body));
        }
        Err(AttemptError::Server(
            FailureKind::Declined,
            SendState::MaybeRun,
        ))
    }

    fn pass_events(
        &mut self,
        mut connection: BackendConnection,
        head: AnswerHead,
        framing: Framing,
    ) -> Result<(), AttemptError> {
        self.pass(AnswerChunk::StreamHead(Box::new(head.clone())))?;
        let mut body = connection.body(framing);
        let mut splitter = EventSplitter::new();
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let count = body
                .read(&mut buffer)
                .map_err(|e| AttemptError::from_read(&e))?;
            if count == 0 {
                break;
            }
            splitter.push(&buffer[..count]);
            let events = self.take_events(&mut splitter);
            if !events.is_empty() {
                self.pass(AnswerChunk::StreamBytes(events))?;
            }
        }
        if !splitter.rest().is_empty() {
            return Err(BROKEN);
        }
        drop(body);
        self.keep(connection, &head);
        self.pass(AnswerChunk::End)
    }

    /// Returns the bytes of the whole events that the caller has not got.
    fn take_events(&mut self, splitter: &mut EventSplitter) -> Vec<u8> {
        let mut bytes = Vec::new();
        while let Some(event) = splitter.next_event() {
            let position = event.id.map(StreamPosition::new);
            if position.is_some_and(|p| p < self.next_position) {
                continue;
            }
            if self.output == TokenCount::ZERO {
                self.note_start();
            }
            bytes.extend_from_slice(event.bytes);
            self.next_position = position.map_or(self.next_position, StreamPosition::next);
            self.output += TokenCount::new(1);
        }
        bytes
    }

    fn note_start(&self) {
        let _ = self
            .decide
            .send(DecideMessage::Started(self.dispatch.attempt));
    }

    fn pass(&self, chunk: AnswerChunk) -> Result<(), AttemptError> {
        self.chunks
            .send(chunk)
            .map_err(|_| AttemptError::CallerDisconnected)
    }

    /// Gives a connection back, unless the try was stopped and the connection with it.
    fn keep(&self, connection: BackendConnection, head: &AnswerHead) {
        if self.handle.detach() {
            self.pool.put(self.dispatch.address, connection, head);
        }
    }
}

/// The answer broke off or its end cannot be found.
pub(super) const BROKEN: AttemptError =
    AttemptError::Server(FailureKind::Broken, SendState::MaybeRun);
/// The answer is not what the server's interface allows.
const FAULTY: AttemptError = AttemptError::Server(FailureKind::Faulty, SendState::MaybeRun);

pub(super) fn read_whole(body: BodyStream<'_>) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    body.take(WHOLE_MAX + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > WHOLE_MAX {
        return Err(io::Error::other("the answer is too large"));
    }
    Ok(bytes)
}
