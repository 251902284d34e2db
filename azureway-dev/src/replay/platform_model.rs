//! A small model of the platform.

use std::time::Duration;

use azureway_core::claim::{ClaimCommand, ClaimOutcome};

/// A small model of the platform: it grants every claim, or is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformModel {
    /// Whether the platform does not answer.
    pub is_down: bool,
}

/// The time in which the platform answers.
const REPLY_DELAY: Duration = Duration::from_millis(4);
/// The time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl PlatformModel {
    /// Creates a platform that answers.
    pub const fn new() -> Self {
        Self { is_down: false }
    }

    /// Returns what becomes of a call, and after what time.
    pub const fn answer(self, command: &ClaimCommand) -> (Duration, ClaimOutcome) {
        let id = command.id();
        match command {
            ClaimCommand::Create(_) if self.is_down => {
                (CALL_TIMEOUT, ClaimOutcome::Unavailable(id))
            }
            ClaimCommand::Create(_) => (REPLY_DELAY, ClaimOutcome::Granted(id, 1)),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => {
                (REPLY_DELAY, ClaimOutcome::Closed(id))
            }
        }
    }
}
