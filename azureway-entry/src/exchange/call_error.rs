//! The failure of a call to a backend server.

use std::fmt::{self, Display, Formatter};

use azureway_core::prelude::{Error, OrderAnswer};

/// The failure of a call to a backend server.
#[derive(Debug)]
pub enum CallError {
    /// The server cannot have received the call.
    NotSent(Error),
    /// The call was sent, and no whole answer arrived in time.
    Unanswered(Error),
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "not sent: {error}"),
            Self::Unanswered(error) => write!(f, "no answer: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<&CallError> for OrderAnswer {
    fn from(error: &CallError) -> Self {
        match error {
            CallError::NotSent(_) => Self::Failed,
            CallError::Unanswered(_) => Self::Unanswered,
        }
    }
}
