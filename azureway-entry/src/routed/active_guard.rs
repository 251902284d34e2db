//! A request that is being answered.

use super::Active;

/// Counts a request as being answered for as long as it lives.
#[derive(Debug)]
pub struct ActiveGuard {
    active: Active,
}

impl ActiveGuard {
    /// Creates the guard of a request that was counted.
    pub const fn new(active: Active) -> Self {
        Self { active }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.end();
    }
}
