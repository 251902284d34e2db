//! Classification of failed attempts, by which the router decides whether to retry.

use std::io;

use azureway_core::prelude::{FailureKind, SendState};

/// The reason why an attempt did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The caller has disconnected, so the answer is not needed.
    CallerDisconnected,
    /// The backend server failed or rejected the request.
    Server(FailureKind, SendState),
}

/// The answer was cut short, or its end cannot be determined.
pub const BROKEN: AttemptError = AttemptError::Server(FailureKind::Broken, SendState::MaybeRun);

/// The answer violates the interface of backend servers.
pub const FAULTY: AttemptError = AttemptError::Server(FailureKind::Faulty, SendState::MaybeRun);

impl AttemptError {
    /// Returns the error of a connection that was not established.
    pub fn from_connect(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => {
                Self::Server(FailureKind::Unreachable, SendState::Unsent)
            }
            _ => Self::from_read(error),
        }
    }

    /// Returns the error of a response head that was not received whole or is not valid.
    pub fn from_head(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::Other => FAULTY,
            _ => Self::from_read(error),
        }
    }

    /// Returns the error of an answer that was cut short.
    pub fn from_read(error: &io::Error) -> Self {
        // ETIMEDOUT means that the peer no longer acknowledges bytes: the connection is lost. A
        // read that only reached its timeout leaves a connection that may still work.
        let lost = error.raw_os_error() == Some(rustix::io::Errno::TIMEDOUT.raw_os_error());
        let timed_out = matches!(
            error.kind(),
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
        );
        let silent = timed_out && !lost;
        let kind = if silent {
            FailureKind::Silent
        } else {
            FailureKind::Broken
        };
        Self::Server(kind, SendState::MaybeRun)
    }

    /// Returns the error that a model engine's response status stands for, if any.
    pub const fn from_status(status: u16) -> Option<Self> {
        match status {
            409 => Some(Self::Server(FailureKind::Mismatch, SendState::Rejected)),
            429 | 503 => Some(Self::Server(FailureKind::Busy, SendState::Rejected)),
            500..=599 => Some(Self::Server(FailureKind::Faulty, SendState::MaybeRun)),
            _ => None,
        }
    }
}
