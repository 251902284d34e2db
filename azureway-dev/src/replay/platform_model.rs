//! A small model of the platform.

use std::time::Duration;

use azureway_core::claim::{ClaimCommand, ClaimOutcome};

/// A small model of the platform: it grants every claim, or is away.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformModel {
    /// Whether the platform does not answer.
    pub away: bool,
}

/// The time in which the platform answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The time after which a call is given up.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

impl PlatformModel {
    /// Creates a platform that answers.
    pub const fn new() -> Self {
        Self { away: false }
    }

    /// Returns what becomes of a call, and after what time.
    pub const fn answer(self, call: &ClaimCommand) -> (Duration, ClaimOutcome) {
        let id = call.id();
        match call {
            ClaimCommand::Create(_) if self.away => (ANSWER_LIMIT, ClaimOutcome::Unavailable(id)),
            ClaimCommand::Create(_) => (ANSWER_TIME, ClaimOutcome::Granted(id, 1)),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => {
                (ANSWER_TIME, ClaimOutcome::Closed(id))
            }
        }
    }
}
