//! Why an operator's request fails.

use std::fmt;

/// Why an operator's request fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminError {
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// No such path or method.
    NotFound,
    /// The request is not understood.
    Invalid(Box<str>),
    /// The duties did not answer in time.
    Busy,
    /// The daemon is part of a process that it must not end.
    Embedded,
}

impl AdminError {
    /// Returns the status of the answer.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Invalid(_) => 400,
            Self::Busy => 503,
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
            Self::Busy => f.write_str("the entry did not answer in time"),
            Self::Embedded => f.write_str("this instance cannot be drained by itself"),
        }
    }
}

impl std::error::Error for AdminError {}
