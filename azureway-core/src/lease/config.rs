//! The times of a lease.

use std::time::Duration;

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a lease lasts after it was written.
    pub term: Duration,
    /// How long before the end the holder stops to order servers that check no fencing number.
    pub margin: Duration,
    /// How long servers that check no fencing number rest between orders of two holders.
    pub cooldown: Duration,
    /// Whether an instance runs one process at a time: whatever an earlier one held is its own.
    pub single_process: bool,
}

/// The default term.
const DEFAULT_TERM: Duration = Duration::from_secs(15);
/// The default margin, far longer than an order takes.
const DEFAULT_MARGIN: Duration = Duration::from_secs(5);
/// The parts of a term after which it is renewed.
const RENEWALS: u32 = 3;
/// The part of a term that others wait longer, since clocks run at different speeds.
const DRIFT_PART: u32 = 10;

impl LeaseConfig {
    /// Creates the default times.
    pub const fn new() -> Self {
        Self {
            term: DEFAULT_TERM,
            margin: DEFAULT_MARGIN,
            cooldown: Duration::ZERO,
            single_process: false,
        }
    }

    /// Sets the term, and the margin before its end.
    #[must_use]
    pub const fn with_term(mut self, term: Duration, margin: Duration) -> Self {
        (self.term, self.margin) = (term, margin);
        self
    }

    /// Sets how long servers that check no fencing number rest between orders of two holders, so
    /// that an order of the first that is carried out late is over when the next one comes.
    #[must_use]
    pub const fn with_cooldown(mut self, cooldown: Duration) -> Self {
        self.cooldown = cooldown;
        self
    }

    /// Lets a process take over at once what an earlier process of its instance held, where the
    /// platform runs one process of an instance at a time.
    #[must_use]
    pub const fn with_single_process(mut self) -> Self {
        self.single_process = true;
        self
    }

    /// Returns the time after which a lease is renewed, or looked at by others.
    pub fn renew_interval(&self) -> Duration {
        self.term / RENEWALS
    }

    /// Returns how long an entry must have seen a lease unchanged before it takes it over.
    pub fn takeover_delay(&self) -> Duration {
        self.term + self.term / DRIFT_PART
    }
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self::new()
    }
}
