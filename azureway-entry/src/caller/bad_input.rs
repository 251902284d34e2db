//! The reasons why a request cannot be read, and the refusal for each.

use azureway_core::prelude::{Refusal, RefusalReason};

/// An error in reading a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadInput {
    /// The caller closed the connection before it sent a byte, or reading failed.
    Closed,
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The bytes are not an HTTP/1.1 request head.
    BadHead,
    /// The length of the body is malformed, given twice or combined with chunked coding.
    BadLength,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The body is malformed or shorter than declared.
    BadBody,
    /// The bodies of all requests take too much memory.
    Overloaded,
    /// The request did not arrive before its deadline.
    TooSlow,
}

impl From<BadInput> for Refusal {
    fn from(input: BadInput) -> Self {
        let (reason, detail) = match input {
            BadInput::Closed => (RefusalReason::Malformed, "the connection was closed"),
            BadInput::HeadTooLarge => (RefusalReason::HeadTooLarge, "the head is too large"),
            BadInput::BadHead => (RefusalReason::Malformed, "the head is no HTTP/1.1 request"),
            BadInput::BadLength => (RefusalReason::Malformed, "the body's length is ambiguous"),
            BadInput::BodyTooLarge => (RefusalReason::TooLarge, "the body is too large"),
            BadInput::BadBody => (RefusalReason::Malformed, "the body is cut short or broken"),
            BadInput::Overloaded => (RefusalReason::Overloaded, "too many long requests at once"),
            BadInput::TooSlow => (RefusalReason::TooSlow, "the request did not arrive in time"),
        };
        Self::not_run(reason, detail)
    }
}
