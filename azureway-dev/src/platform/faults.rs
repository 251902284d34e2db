//! What the platform does wrong.

/// What the platform does wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Whether every call fails.
    pub outage: bool,
    /// How many answers of writes are still to be lost after the write took effect.
    pub lost_answers: u32,
    /// The calls that are allowed before every further one is limited.
    pub quota: Option<u32>,
}

impl PlatformFaults {
    /// Creates a platform that does nothing wrong.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call and returns the status that it fails with, if it fails.
    pub fn count_call(&mut self) -> Option<u16> {
        if self.outage {
            return Some(503);
        }
        match &mut self.quota {
            Some(0) => Some(429),
            Some(rest) => {
                *rest -= 1;
                None
            }
            None => None,
        }
    }

    /// Returns whether the answer of a write is to be lost.
    pub fn take_lost(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers -= u32::from(lost);
        lost
    }
}
