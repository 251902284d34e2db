//! A request that was running when a backend server broke.

use std::time::Duration;

use super::{CrashSite, StrikeState};
use crate::domain::Fingerprint;

/// A request that was running when a backend server broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The request, by what two sendings of it have in common.
    pub fingerprint: Fingerprint,
    /// Where the server broke.
    pub site: CrashSite,
    /// How sure it is.
    pub state: StrikeState,
    /// How long it still holds. Passing it on never makes it longer.
    pub ttl: Duration,
}

impl Strike {
    /// Creates a strike that holds for `ttl`.
    pub const fn new(
        fingerprint: Fingerprint,
        site: CrashSite,
        state: StrikeState,
        ttl: Duration,
    ) -> Self {
        Self {
            fingerprint,
            site,
            state,
            ttl,
        }
    }
}
