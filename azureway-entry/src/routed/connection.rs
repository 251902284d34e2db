//! The duty of one routed caller's connection.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use azureway_core::prelude::{CallerLimits, Refusal, RefusalReason, RequestId};

use super::{
    AnswerEnd, CallerDialect, DisconnectWatch, PrefixedReader, RoutedAnswer, RoutedResponder,
    ServingState,
};
use crate::admit::{AdmitMessage, Call};
use crate::caller::{BadInput, BodyReader, Head, HeadReader, TimedStream};
use crate::daemon::Handles;
use crate::decide::DecideMessage;

/// The duty of one routed caller's connection: reads one request after the other and writes
/// their answers.
#[derive(Debug)]
pub struct RoutedConnection<D> {
    stream: TcpStream,
    dialect: D,
    handles: Handles,
    serving: ServingState,
    watch: DisconnectWatch,
    early: Vec<u8>,
}

/// How long the answer to a bad request is kept from being lost to a reset.
const LINGER: Duration = Duration::from_secs(1);
/// How long a caller may take no byte of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The updates that a request can have before its connection takes one up.
const OUTCOMES: usize = 16;
/// How long a request may take where neither its caller nor its route sets a limit.
const WAIT_MAX: Duration = Duration::from_secs(60);

impl<D: CallerDialect> RoutedConnection<D> {
    /// Creates the duty.
    pub const fn new(
        stream: TcpStream,
        dialect: D,
        handles: Handles,
        serving: ServingState,
        watch: DisconnectWatch,
    ) -> Self {
        Self {
            stream,
            dialect,
            handles,
            serving,
            watch,
            early: Vec::new(),
        }
    }

    /// Serves the connection until one side closes it.
    pub fn run(mut self) {
        let set = self.stream.set_nodelay(true);
        if let Err(e) = set.and_then(|()| self.stream.set_write_timeout(Some(WRITE_TIMEOUT))) {
            log::debug!(step = "accept", error:% = e; "the caller is gone");
            return;
        }
        while self.await_request() {
            let guard = self.serving.in_flight.begin();
            let ending = self.serve();
            drop(guard);
            if ending != AnswerEnd::Complete {
                break;
            }
        }
    }

    /// Waits for the first byte of the next request. Returns whether it came.
    fn await_request(&self) -> bool {
        if !self.early.is_empty() {
            return true;
        }
        let idle = self.serving.limits().idle_timeout;
        let seen = self
            .stream
            .set_read_timeout(Some(idle))
            .and_then(|()| self.stream.peek(&mut [0]));
        // Silence, a close and a reset all end a connection that carries no request.
        matches!(seen, Ok(1..))
    }

    fn serve(&mut self) -> AnswerEnd {
        let limits = self.serving.limits();
        match self.receive(limits) {
            Ok((head, body)) => self.answer(head, body),
            Err(BadInput::Closed) => AnswerEnd::Broken,
            Err(input) => self.reject(input),
        }
    }

    fn receive(&mut self, limits: CallerLimits) -> Result<(Head, Vec<u8>), BadInput> {
        let mut stream = TimedStream::new(&self.stream, Instant::now() + limits.head_timeout);
        let early = std::mem::take(&mut self.early);
        let reader = HeadReader::new(limits.head_bytes).with_bytes(early);
        let (head, early) = reader.read(&mut stream)?;
        let body = BodyReader::new(&head)?;
        if head
            .get("expect")
            .is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
        {
            let sent = (&self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            sent.map_err(|_| BadInput::Closed)?;
        }
        let mut rest = PrefixedReader::new(early, stream);
        let body = body.read(&[], &mut rest, limits.body_bytes)?;
        self.early = rest.into_rest();
        Ok((head, body))
    }

    fn reject(&self, input: BadInput) -> AnswerEnd {
        let refusal = Refusal::from(input);
        log::info!(step = "read request", code = refusal.reason.code(), detail = refusal.detail.as_ref(); "refused");
        let told = RoutedResponder::new(&self.stream, true).refuse(&refusal);
        let closed = told.and_then(|()| self.stream.shutdown(std::net::Shutdown::Write));
        if closed.is_ok() {
            // A close with unread bytes resets the connection, and the answer could be lost.
            let mut rest = TimedStream::new(&self.stream, Instant::now() + LINGER);
            if let Err(e) = io::copy(&mut rest, &mut io::sink()) {
                log::debug!(step = "read request", error:% = e; "the caller did not close");
            }
        }
        AnswerEnd::Broken
    }

    fn answer(&mut self, head: Head, body: Vec<u8>) -> AnswerEnd {
        let id = self.handles.ids.next();
        let wait = self.dialect.read(&head).ok().and_then(|m| m.timeout);
        let limit = Instant::now() + wait.unwrap_or(WAIT_MAX);
        let close = self.serving.is_draining() || asks_close(&head);
        let (sender, updates) = flume::bounded(OUTCOMES);
        let call = Call {
            id,
            head,
            body,
            arrived: self.handles.clock.now(),
            updates: sender,
        };
        let message = AdmitMessage::Call(Box::new(call));
        if self.handles.admit.try_send(message).is_err() {
            log::info!(request:% = id, step = "admit", code = "overloaded"; "refused");
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests at once");
            let told = RoutedResponder::new(&self.stream, close).refuse(&refusal);
            return told.map_or(AnswerEnd::Broken, |()| AnswerEnd::complete(close));
        }
        let watched = self.watch.begin(&self.stream, id).inspect_err(|e| {
            log::warn!(request:% = id, step = "watch callers", error:% = e; "a hang-up would go unnoticed");
        });
        let mut answer = RoutedAnswer::new(&self.stream, id, limit, close);
        let result = answer.run(&updates, &self.handles.decide);
        if let Ok(place) = watched {
            self.watch.end(&self.stream, place);
        }
        result.unwrap_or_else(|e| self.hang_up(id, &e))
    }

    /// Takes back the request of a caller who is gone.
    fn hang_up(&self, id: RequestId, error: &io::Error) -> AnswerEnd {
        log::info!(request:% = id, step = "answer", error:% = error; "the caller hung up");
        let _ = self
            .handles
            .decide
            .send(DecideMessage::CallerDisconnected(id));
        AnswerEnd::Broken
    }
}

/// Tells whether the caller wants the connection closed after the answer.
fn asks_close(head: &Head) -> bool {
    let mut tokens = head.get_all("connection").flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case("close"))
}
