//! Sending the request of an attempt and receiving the response head.

use std::fmt::Write as _;
use std::io;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;

use super::exchange_attempt::discard_body;
use super::{AnswerHead, BackendConnection, BackendDialect, ExchangeAttempt, Framing};
use crate::admit::Passthrough;
use crate::relay::{AttemptError, BROKEN, log_invalid_head};

/// The read timeout is at least this multiple of the expected time to the first token, since a
/// busy server may be silent for long.
const TTFT_FACTOR: u32 = 4;
/// The largest number of answers read on one connection. An answer to another request is skipped
/// in search of the one to this attempt.
const MAX_ANSWERS: u32 = 4;
/// The largest body of an answer to another request that is skipped, in bytes.
const MAX_OTHER_SIZE: u64 = 16 * 1024 * 1024;
/// The time to wait for an early answer from a server that stopped reading the request.
const EARLY_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// The header that resumes a stream after the last event received.
const LAST_EVENT_ID: &str = "last-event-id";

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Sends the request and returns the connection with the response head.
    pub(super) fn send_request(
        &self,
        passthrough: &Passthrough,
    ) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        let attempt_id = self.attempt_id(passthrough);
        let pooled = self.pool.take(self.dispatch.address, passthrough.once);
        let incarnation = self.dispatch.incarnation;
        let usable = |c: &BackendConnection| !c.has_rejected(attempt_id) && c.leads_to(incarnation);
        let Some(connection) = pooled.filter(usable) else {
            return self.send_on_new(passthrough);
        };
        let begin = Instant::now();
        match self.send_on(connection, passthrough) {
            Err(AttemptError::Server(FailureKind::Broken, _))
                if self.may_resend(passthrough, begin) =>
            {
                let result = self.send_on_new(passthrough);
                result.map_err(|e| match e {
                    // The server may have read the request on the first connection.
                    AttemptError::Server(_, SendState::Unsent) => BROKEN,
                    e => e,
                })
            }
            result => result,
        }
    }

    /// Returns whether the request, sent at `begin` on a kept connection that broke, is sent again in
    /// place. The server likely closed the idle connection as the request was sent, but whether it read
    /// the request is unknown, so the request must be one that may run more than once. Later the server
    /// may have worked on it, and the router decides.
    fn may_resend(&self, passthrough: &Passthrough, begin: Instant) -> bool {
        let stopped = self.handle.is_cancelled() || self.handle.is_recalled();
        !passthrough.once && !stopped && begin.elapsed() < self.resend_limit
    }

    fn send_on_new(
        &self,
        passthrough: &Passthrough,
    ) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        let address = self.dispatch.address;
        let limit = self.connect_timeout.min(self.time_left(passthrough));
        let opened = BackendConnection::open(address, limit);
        let unreachable = AttemptError::Server(FailureKind::Unreachable, SendState::Unsent);
        let connection = opened.map_err(|e| {
            log::debug!(request:% = self.dispatch.attempt.id, step = "connect", peer:% = address, error:% = e; "connecting failed");
            unreachable
        })?;
        self.send_on(
            connection.with_incarnation(self.dispatch.incarnation),
            passthrough,
        )
    }

    fn send_on(
        &self,
        mut connection: BackendConnection,
        passthrough: &Passthrough,
    ) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        if !self.handle.attach(connection.shared_stream()) {
            return Err(AttemptError::CallerDisconnected);
        }
        let left = self.time_left(passthrough);
        let last = self.dispatch.attempt.number >= passthrough.max_attempts;
        // A busy server may be silent for long and still work on the request. Sending it to
        // another one as well would double the work when the load is highest.
        let timeout = passthrough
            .read_timeout
            .max(self.dispatch.expected_ttft * TTFT_FACTOR);
        let timeout = if last { left } else { left.min(timeout) };
        let failed = |e: &io::Error| AttemptError::from_read(e);
        connection
            .set_read_timeout(timeout)
            .map_err(|e| failed(&e))?;
        connection.set_deadline(Some(self.clock.instant(passthrough.deadline)));
        let head = self.encode_head(passthrough, left);
        let sent = connection.send_parts(head, &self.upstream.body, timeout);
        let unread = sent.err();
        if let Some(e) = &unread {
            // A server that rejects a long request may answer before it has read all of it.
            connection
                .set_read_timeout(EARLY_ANSWER_TIMEOUT)
                .map_err(|_| failed(e))?;
        }
        let failed = |e: io::Error| failed(unread.as_ref().unwrap_or(&e));
        for _ in 0..MAX_ANSWERS {
            let head = connection.read_head();
            let head = head.inspect_err(|e| log_invalid_head(&self.dispatch, e));
            let head = head.map_err(failed)?;
            let attempt_id = self.dialect.read(&head).attempt_id;
            if attempt_id.is_none_or(|a| Some(a) == self.attempt_id(passthrough)) {
                let head = match unread {
                    Some(_) => with_connection_close(head),
                    None => head,
                };
                return Ok((connection, head));
            }
            log::warn!(request:% = self.dispatch.attempt.id, step = "exchange", peer:% = self.dispatch.server; "dropped an answer to another request");
            let framing = Framing::from_head(&head, &self.upstream.method);
            let framing = framing.ok().filter(|f| *f != Framing::Closing);
            let framing = framing.ok_or(BROKEN)?;
            discard_body(connection.body(framing), MAX_OTHER_SIZE).map_err(failed)?;
        }
        Err(BROKEN)
    }

    fn attempt_id<'a>(&self, passthrough: &'a Passthrough) -> Option<&'a str> {
        passthrough.attempt_id.as_deref()
    }

    fn time_left(&self, passthrough: &Passthrough) -> Duration {
        passthrough.deadline.since(self.clock.now())
    }

    /// Returns the bytes of the request's head. `left` is the time for which the caller still waits.
    fn encode_head(&self, passthrough: &Passthrough, left: Duration) -> Vec<u8> {
        let upstream = &self.upstream;
        let mut head = format!("{} {} HTTP/1.1\r\n", upstream.method, upstream.path);
        let resumed = self.dispatch.position > StreamPosition::ZERO;
        for (name, value) in &passthrough.headers {
            if !(resumed && name.as_ref() == LAST_EVENT_ID) {
                let _ = write!(head, "{name}: {value}\r\n");
            }
        }
        if resumed {
            let last = self.dispatch.position.get() - 1;
            let _ = write!(head, "{LAST_EVENT_ID}: {last}\r\n");
        }
        if !upstream.body.is_empty() || upstream.method.as_ref() != "GET" {
            let _ = write!(head, "content-length: {}\r\n", upstream.body.len());
        }
        self.dialect
            .write_headers(&self.dispatch, upstream, left, &mut head);
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Returns the response head with `connection: close`, so that the connection is not reused.
fn with_connection_close(mut head: AnswerHead) -> AnswerHead {
    head.headers
        .retain(|(n, _)| !n.eq_ignore_ascii_case("connection"));
    head.headers.push(("connection".into(), "close".into()));
    head
}
