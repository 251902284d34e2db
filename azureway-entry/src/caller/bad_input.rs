//! Why a request could not be read.

use azureway_core::prelude::{Refusal, RefusalReason};

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadInput {
    /// The caller closed the connection before a byte came.
    Closed,
    /// The head is larger than its bound.
    HeadTooLarge,
    /// The head is no HTTP/1.1 request.
    BadHead,
    /// The length of the body is missing, negative, stands twice or goes with chunks.
    BadLength,
    /// The body is larger than its bound.
    BodyTooLarge,
    /// The body is not well-formed or is shorter than declared.
    BadBody,
    /// The request did not arrive in time.
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
            BadInput::TooSlow => (RefusalReason::TooSlow, "the request did not arrive in time"),
        };
        Self::not_run(reason, detail)
    }
}
