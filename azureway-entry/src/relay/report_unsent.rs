//! Reporting an attempt that was not started.

use azureway_core::prelude::*;
use flume::Sender;

use crate::decide::DecideMessage;

/// Reports an attempt that sent nothing. The deciding duty itself calls this and must not block on
/// its own ring. If the ring is full, the message is lost and the request ends at its deadline.
pub fn report_unsent(decide: &Sender<DecideMessage>, attempt: Attempt) {
    let failure = Failure {
        attempt,
        kind: FailureKind::Unreachable,
        sent: SendState::Unsent,
        position: StreamPosition::ZERO,
    };
    if decide.try_send(DecideMessage::Failed(failure)).is_err() {
        log::error!(request:% = attempt.id, step = "relay"; "the ring is full, the failure of an attempt was dropped");
    }
}
