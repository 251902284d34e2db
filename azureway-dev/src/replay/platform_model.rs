//! Answers the claim calls of the core in a replay.

use std::time::Duration;

use azureway_core::claim::{ClaimCommand, ClaimOutcome};

/// A simulated platform, which grants every claim unless it is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformModel {
    /// Whether calls are not answered.
    pub is_down: bool,
}

/// The time that an answered call takes.
const REPLY_DELAY: Duration = Duration::from_millis(4);
/// The time after which a call fails while the platform is down.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl PlatformModel {
    /// Creates a platform that answers calls.
    pub const fn new() -> Self {
        Self { is_down: false }
    }

    /// Returns the outcome of a call and the time after which it is known.
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
