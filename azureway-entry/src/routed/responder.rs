//! Writing answers to a routed caller's connection.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

use azureway_core::prelude::{CrashReport, Refusal, RefusalReason};
use azureway_wire::error::{ErrorBody, reason_phrase};
use chunked_transfer::Encoder;

use super::ResponseHead;
use crate::exchange::AnswerHead;
use crate::memory::{HeldWriter, MemoryHold};

/// Writes the answer to one request of a routed caller.
#[derive(Debug)]
pub struct RoutedResponder<'a> {
    stream: &'a TcpStream,
    close: bool,
    hold: Option<&'a MemoryHold>,
}

/// The `retry-after` time of a request that has not run, if the refusal states none. Callers wait
/// for at most a third of their time limit before they retry; this is well below that.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The `retry-after` time of an instance that is draining. It is short, since the retries reach
/// other instances, which already serve.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

impl<'a> RoutedResponder<'a> {
    /// Creates a writer to `stream`. With `close`, the answer states that the connection closes
    /// after it.
    pub const fn new(stream: &'a TcpStream, close: bool) -> Self {
        Self {
            stream,
            close,
            hold: None,
        }
    }

    /// Sets the memory that is held for the request.
    #[must_use]
    pub const fn with_hold(mut self, hold: Option<&'a MemoryHold>) -> Self {
        self.hold = hold;
        self
    }

    /// Writes a complete answer of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn write_complete(&self, answer: &AnswerHead, body: &[u8]) -> io::Result<()> {
        let head = ResponseHead::from_answer(answer);
        self.write(head, body)
    }

    /// Writes the response head of a backend server's stream and returns a writer for its body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn start_stream(&self, answer: &AnswerHead) -> io::Result<Encoder<&'a TcpStream>> {
        let head = ResponseHead::from_answer(answer).with("transfer-encoding", "chunked");
        let mut stream = self.stream;
        stream.write_all(&head.with_close(self.close).into_bytes())?;
        Ok(Encoder::with_flush_after_write(stream))
    }

    /// Writes a refusal.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn refuse(&self, refusal: &Refusal) -> io::Result<()> {
        let status = status_of(refusal);
        let head = ResponseHead::new(status, reason_phrase(status));
        let mut head = head.with("content-type", "application/json");
        if matches!(status, 429 | 503) {
            let after = match refusal.reason {
                RefusalReason::Draining => DRAINING_RETRY_AFTER,
                RefusalReason::Quarantined => CrashReport::TTL,
                _ => refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            };
            head = head.with("retry-after", &format!("{:.3}", after.as_secs_f64()));
        }
        let body = serde_json::to_vec(&ErrorBody::from(refusal))?;
        self.write(head, &body)
    }

    fn write(&self, head: ResponseHead, body: &[u8]) -> io::Result<()> {
        let head = head.with("content-length", &body.len().to_string());
        let bytes = head.with_close(self.close).into_bytes();
        let none = MemoryHold::default();
        HeldWriter::new(self.stream, self.hold.unwrap_or(&none)).write(bytes, body)
    }
}

/// Returns the status code of a refusal. 408, 421, 429 and 503 guarantee that the request has not
/// run and never will; 502 and 504 guarantee nothing.
fn status_of(refusal: &Refusal) -> u16 {
    match refusal.reason {
        RefusalReason::Malformed => 400,
        RefusalReason::Unauthorized => 401,
        RefusalReason::UnknownService => 404,
        RefusalReason::TooSlow => 408,
        RefusalReason::TooLarge => 413,
        RefusalReason::HeadTooLarge => 431,
        RefusalReason::AccountLimit => 429,
        RefusalReason::Deadline if !refusal.not_run => 504,
        _ if refusal.not_run => 503,
        _ => 502,
    }
}
