//! A routed caller's connection, which carries one request after the other.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use azureway_core::prelude::{CallerLimits, Refusal, RefusalReason, RequestId};

use super::{
    AnswerEnd, CallerDialect, DisconnectWatch, IdleWait, PrefixedReader, ReservedReader,
    RoutedAnswer, RoutedResponder, ServingState,
};
use crate::admit::{AdmitMessage, Call};
use crate::caller::{BadInput, BodyReader, CallerLink, Head, HeadReader, TimedStream};
use crate::daemon::Handles;
use crate::decide::DecideMessage;
use crate::exchange::BodyReservation;
use crate::memory::{ATTEMPT_COST, HeldReader, MemoryHold};

/// The duty of a routed caller's connection: reads requests one at a time and writes their answers.
#[derive(Debug)]
pub struct RoutedConnection<D> {
    stream: Arc<TcpStream>,
    dialect: D,
    handles: Handles,
    serving: ServingState,
    watch: DisconnectWatch,
    buffered: Vec<u8>,
}

/// The time for which the rest of a malformed request is read and discarded after its refusal.
/// Closing a connection with unread bytes resets it, and the refusal could be lost.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The time for which a write may block before the caller counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The capacity of the ring of a request's updates.
const UPDATE_CAPACITY: usize = 16;
/// The time limit of a request if neither its caller nor its route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

impl<D: CallerDialect> RoutedConnection<D> {
    /// Creates the duty of `stream`.
    pub fn new(
        stream: TcpStream,
        dialect: D,
        handles: Handles,
        serving: ServingState,
        watch: DisconnectWatch,
    ) -> Self {
        Self {
            stream: Arc::new(stream),
            dialect,
            handles,
            serving,
            watch,
            buffered: Vec::new(),
        }
    }

    /// Serves the connection until one side closes it.
    pub fn run(mut self) {
        let set = self.stream.set_nodelay(true);
        if let Err(e) = set.and_then(|()| self.stream.set_write_timeout(Some(WRITE_TIMEOUT))) {
            log::debug!(step = "accept", error:% = e; "setting the options of a connection failed");
            return;
        }
        while self.wait_for_request() {
            let guard = self.serving.in_flight.begin();
            let end = self.serve_request();
            drop(guard);
            if end != AnswerEnd::KeepAlive {
                break;
            }
        }
    }

    /// Waits for the first byte of the next request. Returns whether it arrived.
    fn wait_for_request(&self) -> bool {
        if !self.buffered.is_empty() {
            return true;
        }
        IdleWait::new(&self.stream).run(|| self.serving.limits().idle_timeout)
    }

    fn serve_request(&mut self) -> AnswerEnd {
        let limits = self.serving.limits();
        let hold = self.handles.memory.open();
        match self.read_request(limits, &hold) {
            // The memory is reserved until the request is answered.
            Ok((head, body, _reserved)) => self.answer(head, body, hold),
            Err(BadInput::Closed) => AnswerEnd::Aborted,
            Err(input) => self.refuse(input),
        }
    }

    fn read_request(
        &mut self,
        limits: CallerLimits,
        hold: &MemoryHold,
    ) -> Result<(Head, Vec<u8>, BodyReservation), BadInput> {
        let mut stream = TimedStream::new(&self.stream, Instant::now() + limits.head_timeout);
        let buffered = std::mem::take(&mut self.buffered);
        let reader = HeadReader::new(limits.head_bytes).with_bytes(buffered);
        let (head, buffered) = reader.read(&mut stream)?;
        let body = BodyReader::new(&head)?;
        if head
            .get("expect")
            .is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
        {
            let sent = (&*self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            sent.map_err(|_| BadInput::Closed)?;
        }
        let rest = PrefixedReader::new(buffered, stream);
        let rest = ReservedReader::new(rest, self.serving.bodies.reserve());
        let mut rest = HeldReader::new(rest, hold);
        let body = body.read(&[], &mut rest, limits.body_bytes)?;
        let (rest, reserved) = rest.into_inner().into_parts();
        self.buffered = rest.into_unread();
        Ok((head, body, reserved))
    }

    /// Refuses a malformed request and closes the connection.
    fn refuse(&self, input: BadInput) -> AnswerEnd {
        let refusal = Refusal::from(input);
        log::info!(step = "read request", code = refusal.reason.code(), detail = refusal.detail.as_ref(); "refused");
        let written = RoutedResponder::new(&self.stream, true).refuse(&refusal);
        let closed = written.and_then(|()| self.stream.shutdown(std::net::Shutdown::Write));
        if closed.is_ok() {
            let mut rest = TimedStream::new(&self.stream, Instant::now() + LINGER_TIME);
            if let Err(e) = io::copy(&mut rest, &mut io::sink()) {
                log::debug!(step = "read request", error:% = e; "reading until the caller closes failed");
            }
        }
        AnswerEnd::Aborted
    }

    fn answer(&mut self, head: Head, body: Vec<u8>, hold: MemoryHold) -> AnswerEnd {
        let id = self.handles.ids.next();
        let timeout = self.dialect.read(&head).ok().and_then(|m| m.timeout);
        let deadline = Instant::now() + timeout.unwrap_or(DEFAULT_TIMEOUT);
        let close = self.serving.is_draining() || wants_close(&head);
        if !hold.grow(ATTEMPT_COST) {
            return self.refuse_overload(id, close);
        }
        let (sender, updates) = flume::bounded(UPDATE_CAPACITY);
        let link = CallerLink::with_hold(id, Arc::clone(&self.stream), hold);
        let call = Call {
            id,
            head,
            body,
            arrived: self.handles.clock.now(),
            updates: sender,
            link: Arc::clone(&link),
        };
        let watched = self.watch.begin(&self.stream, id, &link).inspect_err(|e| {
            log::warn!(request:% = id, step = "watch callers", error:% = e; "watching for a disconnect failed");
        });
        let message = AdmitMessage::Call(Box::new(call));
        if self.handles.admit.try_send(message).is_err() {
            self.end_watch(watched);
            return self.refuse_overload(id, close);
        }
        let mut answer =
            RoutedAnswer::new(&self.stream, id, deadline, close).with_hold(link.hold());
        let result = answer.run(&updates, &self.handles.decide);
        self.end_watch(watched);
        result.unwrap_or_else(|e| {
            link.disconnect();
            self.disconnected(id, &e)
        })
    }

    /// Refuses a request for which there is no room.
    fn refuse_overload(&self, id: RequestId, close: bool) -> AnswerEnd {
        log::info!(request:% = id, step = "admit", code = "overloaded"; "refused");
        let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests at once");
        let written = RoutedResponder::new(&self.stream, close).refuse(&refusal);
        written.map_or(AnswerEnd::Aborted, |()| AnswerEnd::complete(close))
    }

    fn end_watch(&self, watched: io::Result<usize>) {
        if let Ok(token) = watched {
            self.watch.end(&self.stream, token);
        }
    }

    /// Cancels the request of a caller that has disconnected.
    fn disconnected(&self, id: RequestId, error: &io::Error) -> AnswerEnd {
        log::info!(request:% = id, step = "answer", error:% = error; "the caller hung up");
        let _ = self
            .handles
            .decide
            .send(DecideMessage::CallerDisconnected(id));
        AnswerEnd::Aborted
    }
}

/// Returns whether the caller wants the connection closed after the answer.
fn wants_close(head: &Head) -> bool {
    let mut tokens = head.get_all("connection").flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case("close"))
}
