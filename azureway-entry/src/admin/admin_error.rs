//! The reasons why an operator's request fails, with the HTTP status of each.

use std::fmt;

/// The error of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminError {
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// There is no such path or method.
    NotFound,
    /// The request is malformed, as the text explains.
    Invalid(Box<str>),
    /// The duties did not reply in time.
    Timeout,
    /// The daemon is embedded in a process that it must not end.
    Embedded,
}

impl AdminError {
    /// Returns the HTTP status of the answer.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Invalid(_) => 400,
            Self::Timeout => 503,
            Self::Embedded => 409,
        }
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthorized => f.write_str("the operators' key is missing or wrong"),
            Self::NotFound => f.write_str("no such path"),
            Self::Invalid(detail) => f.write_str(detail),
            Self::Timeout => f.write_str("the entry did not answer in time"),
            Self::Embedded => f.write_str("this instance cannot be drained by itself"),
        }
    }
}

impl std::error::Error for AdminError {}
