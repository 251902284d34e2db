//! Reporting a try that never began.

use azureway_core::prelude::*;
use flume::Sender;

use crate::decide::DecideMessage;

/// Reports a try of which no byte was sent, from the deciding duty itself, which must not wait
/// for its own ring. If the message is lost, the request's deadline ends it.
pub fn report_unsent(decide: &Sender<DecideMessage>, attempt: Attempt) {
    let failure = Failure {
        attempt,
        kind: FailureKind::Unreachable,
        sent: SendState::Unsent,
        position: StreamPosition::ZERO,
    };
    if decide.try_send(DecideMessage::Failed(failure)).is_err() {
        log::error!(request:% = attempt.id, step = "relay"; "a failure found the ring full");
    }
}
