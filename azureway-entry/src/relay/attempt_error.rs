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

impl AttemptError {
    /// Returns the error of a request that was not sent or whose response head was not received.
    pub fn from_send(error: &attohttpc::Error) -> Self {
        match error.kind() {
            // Only a refused connection proves that the server received nothing.
            attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                Self::Server(FailureKind::Unreachable, SendState::Unsent)
            }
            attohttpc::ErrorKind::Io(e) => Self::from_read(e),
            _ => Self::Server(FailureKind::Faulty, SendState::MaybeRun),
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
