//! Reports of failed attempts by the deciding duty itself.

use azureway_core::prelude::*;
use flume::Sender;

use crate::decide::DecideMessage;

/// Reports an attempt whose caller has received nothing. The deciding duty itself calls this and must
/// not block on its own ring. If the ring is full, the message is lost and the request ends at its
/// deadline.
pub fn report_failure(
    decide: &Sender<DecideMessage>,
    attempt: Attempt,
    kind: FailureKind,
    sent: SendState,
) {
    let failure = Failure {
        attempt,
        kind,
        sent,
        position: StreamPosition::ZERO,
    };
    if decide.try_send(DecideMessage::Failed(failure)).is_err() {
        log::error!(request:% = attempt.id, step = "relay"; "the ring is full, the failure of an attempt was dropped");
    }
}

/// Reports an attempt that sent nothing, as [`report_failure`] does.
pub fn report_unsent(decide: &Sender<DecideMessage>, attempt: Attempt) {
    report_failure(decide, attempt, FailureKind::Unreachable, SendState::Unsent);
}
