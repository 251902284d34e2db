//! Faults that tests inject into the simulated platform.

/// The injected faults of the simulated platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Whether every call fails.
    pub outage: bool,
    /// The number of further writes that take effect but get no answer.
    pub lost_answers: u32,
    /// The number of further calls that are allowed, or `None` for no limit. Above it, every call
    /// fails with status 429.
    pub quota: Option<u32>,
}

impl PlatformFaults {
    /// Creates a set of no faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call against the quota and returns the status with which it fails, if it fails.
    pub fn count_call(&mut self) -> Option<u16> {
        if self.outage {
            return Some(503);
        }
        match &mut self.quota {
            Some(0) => Some(429),
            Some(remaining) => {
                *remaining -= 1;
                None
            }
            None => None,
        }
    }

    /// Counts a write that took effect and returns whether its answer is to be lost.
    pub fn take_lost(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers -= u32::from(lost);
        lost
    }
}
