//! Encoding of HTTP responses.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use azureway_core::prelude::{Refusal, RefusalReason, RequestId};
use azureway_wire::error::{ErrorBody, reason_phrase, status_of};
use azureway_wire::header;
use chunked_transfer::Encoder;

use crate::memory::{HeldWriter, MemoryHold};

/// Writes the answer to one request. The connection is closed after it.
#[derive(Debug)]
pub struct Responder<'a> {
    stream: &'a TcpStream,
    id: Option<RequestId>,
    hold: Option<&'a MemoryHold>,
}

/// The time after which a caller that was refused for lack of room may come back.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The media type of JSON.
const JSON: &str = "application/json";
/// The media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

impl<'a> Responder<'a> {
    /// Creates a responder that writes to `stream`.
    pub const fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            id: None,
            hold: None,
        }
    }

    /// Sets the memory that is held for the request.
    #[must_use]
    pub const fn with_hold(mut self, hold: Option<&'a MemoryHold>) -> Self {
        self.hold = hold;
        self
    }

    /// Sets the request ID, which the answer carries in a header.
    #[must_use]
    pub const fn with_id(mut self, id: RequestId) -> Self {
        self.id = Some(id);
        self
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn write_complete(&self, status: u16, media: &str, body: &[u8]) -> io::Result<()> {
        self.send(status, media, body, "")
    }

    /// Writes a refusal.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn refuse(&self, refusal: &Refusal) -> io::Result<()> {
        let body = serde_json::to_vec(&ErrorBody::from(refusal))?;
        let overloaded = refusal.not_run && refusal.reason == RefusalReason::Overloaded;
        let after = refusal.retry_after;
        let after = after.or_else(|| overloaded.then_some(OVERLOAD_RETRY_AFTER));
        let seconds = after.map(|t| t.as_millis().div_ceil(1000));
        let retry_after = seconds
            .map(|s| format!("retry-after: {s}\r\n"))
            .unwrap_or_default();
        self.send(status_of(refusal.reason), JSON, &body, &retry_after)
    }

    /// Writes the response head of an event stream and returns the writer of its events.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn start_stream(&self) -> io::Result<Encoder<&'a TcpStream>> {
        let mut head = self.head(200, EVENT_STREAM);
        head.push_str("cache-control: no-store\r\ntransfer-encoding: chunked\r\n\r\n");
        let mut stream = self.stream;
        stream.write_all(head.as_bytes())?;
        Ok(Encoder::with_flush_after_write(stream))
    }

    /// Closes the writing side of the connection, so that the caller sees the end of the answer.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    fn send(&self, status: u16, media: &str, body: &[u8], extra: &str) -> io::Result<()> {
        let mut head = self.head(status, media);
        let _ = write!(head, "content-length: {}\r\n{extra}\r\n", body.len());
        let none = MemoryHold::default();
        HeldWriter::new(self.stream, self.hold.unwrap_or(&none)).write(head.into_bytes(), body)
    }

    fn head(&self, status: u16, media: &str) -> String {
        let reason = reason_phrase(status);
        let mut head =
            format!("HTTP/1.1 {status} {reason}\r\nconnection: close\r\ncontent-type: {media}\r\n");
        if let Some(id) = self.id {
            let _ = write!(head, "{}: {id}\r\n", header::REQUEST_ID);
        }
        head
    }
}
