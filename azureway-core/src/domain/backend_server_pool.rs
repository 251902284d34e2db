//! A pool of backend servers.

use super::PoolId;

/// A pool of backend servers that serve the same things.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServerPool {
    /// The name.
    pub id: PoolId,
    /// The servers that may load weights at once.
    pub max_loads: u32,
}

/// The servers of a pool that may load weights at once where the document names no number.
const DEFAULT_LOADS: u32 = 2;

impl BackendServerPool {
    /// Creates a pool with the default bound on concurrent loads.
    pub fn new(id: PoolId) -> Self {
        Self {
            id,
            max_loads: DEFAULT_LOADS,
        }
    }

    /// Sets how many servers may load weights at once.
    #[must_use]
    pub fn with_max_loads(mut self, max_loads: u32) -> Self {
        self.max_loads = max_loads;
        self
    }
}
