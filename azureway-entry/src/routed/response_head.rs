//! The head of an answer to a caller.

use std::fmt::Write as _;

use crate::exchange::AnswerHead;

/// The head of an answer to a caller, as text.
#[derive(Debug)]
pub struct ResponseHead {
    text: String,
}

/// The headers of a backend server's answer that concern its own connection only.
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
    /// Creates a head with its first line.
    pub fn new(status: u16, reason: &str) -> Self {
        let text = format!("HTTP/1.1 {status} {reason}\r\n");
        Self { text }
    }

    /// Creates the head of an answer that is passed on.
    pub fn of(answer: &AnswerHead) -> Self {
        let mut head = Self::new(answer.status, &answer.reason);
        for (name, value) in &answer.headers {
            if !HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name)) {
                head = head.with(name, value);
            }
        }
        head
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        // Writing to a string does not fail.
        let _ = write!(self.text, "{name}: {value}\r\n");
        self
    }

    /// Tells the caller whether the connection ends with this answer.
    #[must_use]
    pub fn with_close(self, close: bool) -> Self {
        if close {
            self.with("connection", "close")
        } else {
            self
        }
    }

    /// Returns the bytes of the whole head.
    pub fn into_bytes(mut self) -> Vec<u8> {
        self.text.push_str("\r\n");
        self.text.into_bytes()
    }
}
