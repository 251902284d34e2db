//! A small model of the platform.

use std::time::Duration;

use azureway_core::claim::{ClaimCall, ClaimNews};

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
    pub const fn answer(self, call: &ClaimCall) -> (Duration, ClaimNews) {
        let id = call.id();
        match call {
            ClaimCall::Ask(_) if self.away => (ANSWER_LIMIT, ClaimNews::Unavailable(id)),
            ClaimCall::Ask(_) => (ANSWER_TIME, ClaimNews::Granted(id, 1)),
            ClaimCall::Finish(_) | ClaimCall::Release(_) => (ANSWER_TIME, ClaimNews::Settled(id)),
        }
    }
}
