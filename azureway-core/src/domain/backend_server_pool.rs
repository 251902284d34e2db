//! The pools that services run on, each with its bound on concurrent loads.

use super::PoolId;

/// A pool of backend servers that serve the same services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServerPool {
    /// The name of the pool.
    pub id: PoolId,
    /// The largest number of servers that load weights at the same time.
    pub max_loads: u32,
}

/// The bound on a pool's concurrent loads if the document sets none.
const DEFAULT_LOADS: u32 = 2;

impl BackendServerPool {
    /// Creates a pool with the default bound on concurrent loads.
    pub fn new(id: PoolId) -> Self {
        Self {
            id,
            max_loads: DEFAULT_LOADS,
        }
    }

    /// Sets the largest number of servers that load weights at the same time.
    #[must_use]
    pub fn with_max_loads(mut self, max_loads: u32) -> Self {
        self.max_loads = max_loads;
        self
    }
}
