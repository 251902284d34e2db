//! Encoding of response heads for routed callers.

use std::fmt::Write as _;

use crate::exchange::AnswerHead;

/// The encoded response status and headers of an answer to a caller.
#[derive(Debug)]
pub struct ResponseHead {
    text: String,
}

/// The hop-by-hop response headers of a backend server, in lower case, which are not forwarded.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl ResponseHead {
    /// Creates a response head that has only a status line.
    pub fn new(status: u16, reason: &str) -> Self {
        let text = format!("HTTP/1.1 {status} {reason}\r\n");
        Self { text }
    }

    /// Creates the response head of an answer that is forwarded.
    pub fn from_answer(answer: &AnswerHead) -> Self {
        let mut head = Self::new(answer.status, &answer.reason);
        for (name, value) in &answer.headers {
            if !HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name)) {
                head = head.with(name, value);
            }
        }
        head
    }

    /// Appends a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        // Writing to a string does not fail.
        let _ = write!(self.text, "{name}: {value}\r\n");
        self
    }

    /// Appends `connection: close` if `close` is set.
    #[must_use]
    pub fn with_close(self, close: bool) -> Self {
        if close {
            self.with("connection", "close")
        } else {
            self
        }
    }

    /// Returns the bytes of the response head with the blank line that ends it.
    pub fn into_bytes(mut self) -> Vec<u8> {
        self.text.push_str("\r\n");
        self.text.into_bytes()
    }
}
