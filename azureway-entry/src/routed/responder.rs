//! Writing answers to routed callers.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

use azureway_core::prelude::{Refusal, RefusalReason};
use azureway_wire::error::{ErrorBody, reason_phrase};
use chunked_transfer::Encoder;

use super::ResponseHead;
use crate::exchange::AnswerHead;

/// Writes the answer to one request of a routed caller.
#[derive(Debug)]
pub struct RoutedResponder<'a> {
    stream: &'a TcpStream,
    close: bool,
}

/// When a caller whose request has not run may come back, where nothing better is known: well
/// within the third of its time that it waits at most.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// When a caller may come back that finds this instance leaving: another one serves already, and
/// retries reach others.
const ELSEWHERE: Duration = Duration::from_millis(20);

impl<'a> RoutedResponder<'a> {
    /// Creates a writer to `stream`; `close` tells whether the connection ends with the answer.
    pub const fn new(stream: &'a TcpStream, close: bool) -> Self {
        Self { stream, close }
    }

    /// Writes a backend server's whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has hung up.
    pub fn pass(&self, answer: &AnswerHead, body: &[u8]) -> io::Result<()> {
        let head = ResponseHead::of(answer);
        self.send(head, body)
    }

    /// Writes the head of a backend server's stream and returns the writer of its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has hung up.
    pub fn stream(&self, answer: &AnswerHead) -> io::Result<Encoder<&'a TcpStream>> {
        let head = ResponseHead::of(answer).with("transfer-encoding", "chunked");
        let mut stream = self.stream;
        stream.write_all(&head.with_close(self.close).into_bytes())?;
        Ok(Encoder::with_flush_after_write(stream))
    }

    /// Writes a refusal.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has hung up.
    pub fn refuse(&self, refusal: &Refusal) -> io::Result<()> {
        let status = status_of(refusal);
        let head = ResponseHead::new(status, reason_phrase(status));
        let mut head = head.with("content-type", "application/json");
        if matches!(status, 429 | 503) {
            let after = match refusal.reason {
                RefusalReason::Draining => ELSEWHERE,
                _ => refusal.retry_after.unwrap_or(RETRY_AFTER),
            };
            head = head.with("retry-after", &format!("{:.3}", after.as_secs_f64()));
        }
        let body = serde_json::to_vec(&ErrorBody::from(refusal))?;
        self.send(head, &body)
    }

    fn send(&self, head: ResponseHead, body: &[u8]) -> io::Result<()> {
        let head = head.with("content-length", &body.len().to_string());
        let mut bytes = head.with_close(self.close).into_bytes();
        bytes.extend_from_slice(body);
        let mut stream = self.stream;
        stream.write_all(&bytes)
    }
}

/// Returns the status of a refusal. 408, 421, 429 and 503 promise that the request has not run
/// and never will; 502 and 504 promise nothing.
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
