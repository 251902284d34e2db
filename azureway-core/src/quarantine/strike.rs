//! A strike against a request.

use std::time::Duration;

use super::{CrashSite, StrikeState};
use crate::domain::Fingerprint;

/// A strike against a request that was running when a backend server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The fingerprint of the request, which identical requests share.
    pub fingerprint: Fingerprint,
    /// The server that failed, and its incarnation.
    pub site: CrashSite,
    /// The state of the evidence.
    pub state: StrikeState,
    /// The remaining time for which the strike counts. Forwarding a strike never extends it.
    pub ttl: Duration,
}

impl Strike {
    /// Creates a strike that counts for `ttl`.
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
