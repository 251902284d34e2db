//! Why a try did not end well.

use std::io;

use azureway_core::prelude::{FailureKind, SendState};

/// Why a try did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The caller is gone, and nobody waits for the answer.
    CallerDisconnected,
    /// The backend server failed or refused.
    Server(FailureKind, SendState),
}

impl AttemptError {
    /// Reads the error of a request that could not be sent or whose head did not come.
    pub fn from_send(error: &attohttpc::Error) -> Self {
        match error.kind() {
            // Only a refused connection proves that no byte has arrived.
            attohttpc::ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                Self::Server(FailureKind::Unreachable, SendState::Unsent)
            }
            attohttpc::ErrorKind::Io(e) => Self::from_read(e),
            _ => Self::Server(FailureKind::Faulty, SendState::MaybeRun),
        }
    }

    /// Reads the error of an answer that broke off.
    pub fn from_read(error: &io::Error) -> Self {
        // The system gives up a connection whose other end acknowledges nothing: it is lost,
        // while one that only stayed silent for as long as a read waits may still work.
        let given_up = error.raw_os_error() == Some(rustix::io::Errno::TIMEDOUT.raw_os_error());
        let waited = matches!(
            error.kind(),
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
        );
        let silent = waited && !given_up;
        let kind = if silent {
            FailureKind::Silent
        } else {
            FailureKind::Broken
        };
        Self::Server(kind, SendState::MaybeRun)
    }

    /// Reads the error that a model engine's status tells, if it tells one.
    pub const fn from_status(status: u16) -> Option<Self> {
        match status {
            409 => Some(Self::Server(FailureKind::Mismatch, SendState::Rejected)),
            429 | 503 => Some(Self::Server(FailureKind::Busy, SendState::Rejected)),
            500..=599 => Some(Self::Server(FailureKind::Faulty, SendState::MaybeRun)),
            _ => None,
        }
    }
}
