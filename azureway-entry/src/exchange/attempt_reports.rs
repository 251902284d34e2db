//! The reports of attempts that failed.

use azureway_core::prelude::{Failure, FailureKind, SendState};

use super::{BackendDialect, ExchangeAttempt};
use crate::decide::DecideMessage;
use crate::relay::AttemptError;

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Returns the report of an attempt that was recalled and ended with `error`.
    pub(super) fn recalled_message(&self, error: AttemptError) -> DecideMessage {
        let (kind, sent) = match error {
            // The server rejected the request before its connection was closed.
            AttemptError::Server(kind, SendState::Rejected) => (kind, SendState::Rejected),
            AttemptError::Server(_, sent) => (FailureKind::Recalled, sent),
            AttemptError::CallerDisconnected => (FailureKind::Recalled, SendState::MaybeRun),
        };
        self.failed(kind, sent)
    }

    /// Returns the report of a failure and drops idle connections that it likely affects.
    pub(super) fn failure_message(&self, kind: FailureKind, sent: SendState) -> DecideMessage {
        if matches!(kind, FailureKind::Unreachable | FailureKind::Broken) {
            // The cause has most likely broken the idle connections to the server as well.
            self.pool.purge(self.dispatch.address);
        }
        self.failed(kind, sent)
    }

    fn failed(&self, kind: FailureKind, sent: SendState) -> DecideMessage {
        DecideMessage::Failed(Failure {
            attempt: self.dispatch.attempt,
            kind,
            sent,
            position: self.next_position,
        })
    }
}
