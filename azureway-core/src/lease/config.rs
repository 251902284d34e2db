//! The times at which a lease is renewed, used and taken over.

use std::time::Duration;

/// The timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// The time for which a lease is valid after it was written.
    pub term: Duration,
    /// The time before the end of the term at which the holder stops sending orders to servers that
    /// check no fencing number.
    pub margin: Duration,
    /// The time that a new holder waits after the last possible order of the previous holder before
    /// it sends orders to servers that check no fencing number.
    pub cooldown: Duration,
    /// The number of renewals after which other entries read the lease again.
    pub observed: u32,
    /// Whether an instance runs one process at a time, so that a process may take over the lease
    /// of an earlier process of its instance.
    pub single_process: bool,
}

/// The default term.
const DEFAULT_TERM: Duration = Duration::from_secs(15);
/// The default margin, far longer than an order takes.
const DEFAULT_MARGIN: Duration = Duration::from_secs(5);
/// The number of renewals per term.
const RENEWALS_PER_TERM: u32 = 3;
/// Other entries wait a term and this fraction of it, given as a divisor, before they take a lease
/// over, because clocks run at different speeds.
const DRIFT_DIVISOR: u32 = 10;

impl LeaseConfig {
    /// Creates the default timing.
    pub const fn new() -> Self {
        Self {
            term: DEFAULT_TERM,
            margin: DEFAULT_MARGIN,
            cooldown: Duration::ZERO,
            observed: 1,
            single_process: false,
        }
    }

    /// Sets the term and the margin before its end.
    #[must_use]
    pub const fn with_term(mut self, term: Duration, margin: Duration) -> Self {
        (self.term, self.margin) = (term, margin);
        self
    }

    /// Sets how long a new holder waits after the last possible order of the previous holder before
    /// it sends orders to servers that check no fencing number. A late order of the previous holder
    /// has completed by then.
    #[must_use]
    pub const fn with_cooldown(mut self, cooldown: Duration) -> Self {
        self.cooldown = cooldown;
        self
    }

    /// Sets the number of renewals after which other entries read the lease again.
    #[must_use]
    pub const fn with_observed(mut self, renewals: u32) -> Self {
        self.observed = renewals;
        self
    }

    /// Allows a process to take over the lease of an earlier process of its instance at once. This
    /// is safe only if the platform runs one process of an instance at a time.
    #[must_use]
    pub const fn with_single_process(mut self) -> Self {
        self.single_process = true;
        self
    }

    /// Returns the interval at which the holder renews the lease.
    pub fn renew_interval(&self) -> Duration {
        self.term / RENEWALS_PER_TERM
    }

    /// Returns the interval at which other entries read a lease that is renewed.
    pub fn observe_interval(&self) -> Duration {
        self.renew_interval() * self.observed
    }

    /// Returns the time from the last write of a previous holder until orders to servers that check
    /// no fencing number are safe. That holder stops one margin before the end of its term.
    pub fn handover_time(&self) -> Duration {
        self.term.saturating_sub(self.margin) + self.cooldown
    }

    /// Returns how long a lease has to be unchanged before another entry takes it over.
    pub fn takeover_delay(&self) -> Duration {
        self.term + self.term / DRIFT_DIVISOR
    }
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self::new()
    }
}
