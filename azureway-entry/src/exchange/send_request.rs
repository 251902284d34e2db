//! Sending the request of a try and waiting for the head of its answer.

use std::fmt::Write as _;
use std::io;
use std::time::Duration;

use azureway_core::prelude::*;

use super::exchange_attempt::{BROKEN, read_whole};
use super::{AnswerHead, BackendConnection, BackendDialect, ExchangeAttempt, Framing};
use crate::admit::Passthrough;
use crate::relay::AttemptError;

/// How many times the estimated time to the first token a server may be silent.
const PATIENCE: u32 = 4;
/// The answers to other requests that are passed over on one connection.
const FOREIGN_MAX: u32 = 4;
/// How long a server that stopped reading a body is given to say why.
const EARLY_ANSWER: Duration = Duration::from_millis(50);
/// The header by which a stream is resumed after the last event that was received.
const LAST_EVENT: &str = "last-event-id";

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Sends the request and waits for the head of its answer.
    pub(super) fn ask(
        &self,
        passthrough: &Passthrough,
    ) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        let once = passthrough.once;
        let address = self.dispatch.address;
        if let Some(connection) = self.pool.take(address, once) {
            match self.ask_on(connection, passthrough) {
                // The server closed the connection before the request came. It is sent again
                // only where it may run twice: nobody can tell whether it was read.
                Err(AttemptError::Server(FailureKind::Broken, _))
                    if !once && !self.handle.is_cancelled() => {}
                result => return result,
            }
        }
        let limit = self.connect_timeout.min(self.left(passthrough));
        let opened = BackendConnection::open(address, limit);
        let unreachable = AttemptError::Server(FailureKind::Unreachable, SendState::Unsent);
        let connection = opened.map_err(|e| {
            log::debug!(request:% = self.dispatch.attempt.id, step = "connect", peer:% = address, error:% = e; "no connection");
            unreachable
        })?;
        self.ask_on(connection, passthrough)
    }

    fn ask_on(
        &self,
        mut connection: BackendConnection,
        passthrough: &Passthrough,
    ) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        let unsent = AttemptError::Server(FailureKind::Unreachable, SendState::Unsent);
        if !self
            .handle
            .attach(connection.stream())
            .map_err(|_| unsent)?
        {
            return Err(AttemptError::CallerDisconnected);
        }
        let left = self.left(passthrough);
        let last = self.dispatch.attempt.number >= passthrough.max_attempts;
        // A busy server is silent for long and works all the same: asking another one as well
        // would double the work when there is most of it.
        let patience = passthrough
            .read_timeout
            .max(self.dispatch.expected_ttft * PATIENCE);
        let patience = if last { left } else { left.min(patience) };
        let failed = |e: &io::Error| AttemptError::from_read(e);
        connection
            .set_read_timeout(patience)
            .map_err(|e| failed(&e))?;
        let bytes = self.request(passthrough, left);
        if let Err(e) = connection.send(&bytes, patience) {
            // A server that rejects a long request may answer before it has read it all.
            connection
                .set_read_timeout(EARLY_ANSWER)
                .map_err(|_| failed(&e))?;
            let head = connection.read_head().map_err(|_| failed(&e))?;
            return Ok((connection, closing(head)));
        }
        for _ in 0..FOREIGN_MAX {
            let head = connection.read_head().map_err(|e| failed(&e))?;
            let attempt = self.dialect.read(&head).attempt_id;
            if attempt.is_none_or(|a| Some(a) == self.attempt(passthrough)) {
                return Ok((connection, head));
            }
            log::warn!(request:% = self.dispatch.attempt.id, step = "exchange", peer:% = self.dispatch.server; "an answer to another request was dropped");
            let framing = Framing::of(&head, &self.upstream.method);
            let framing = framing.filter(|f| *f != Framing::Closing).ok_or(BROKEN)?;
            read_whole(connection.body(framing)).map_err(|e| failed(&e))?;
        }
        Err(BROKEN)
    }

    fn attempt<'a>(&self, passthrough: &'a Passthrough) -> Option<&'a str> {
        passthrough.attempt_id.as_deref()
    }

    fn left(&self, passthrough: &Passthrough) -> Duration {
        passthrough.deadline.since(self.clock.now())
    }

    fn request(&self, passthrough: &Passthrough, left: Duration) -> Vec<u8> {
        let upstream = &self.upstream;
        let mut head = format!("{} {} HTTP/1.1\r\n", upstream.method, upstream.path);
        let resumed = self.dispatch.position > StreamPosition::ZERO;
        for (name, value) in &passthrough.headers {
            if !(resumed && name.as_ref() == LAST_EVENT) {
                let _ = write!(head, "{name}: {value}\r\n");
            }
        }
        if resumed {
            let last = self.dispatch.position.get() - 1;
            let _ = write!(head, "{LAST_EVENT}: {last}\r\n");
        }
        if !upstream.body.is_empty() || upstream.method.as_ref() != "GET" {
            let _ = write!(head, "content-length: {}\r\n", upstream.body.len());
        }
        self.dialect
            .write_headers(&self.dispatch, upstream, left, &mut head);
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&upstream.body);
        bytes
    }
}

/// Returns a head with the note that the connection cannot be used again.
fn closing(mut head: AnswerHead) -> AnswerHead {
    head.headers
        .retain(|(n, _)| !n.eq_ignore_ascii_case("connection"));
    head.headers.push(("connection".into(), "close".into()));
    head
}
