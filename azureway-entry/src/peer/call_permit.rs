//! The permission to have one more announcement to a peer under way.

use std::sync::Arc;

/// A permit for one call, of a [`CallPermits`](super::CallPermits). Dropping it releases it.
#[derive(Debug)]
pub struct CallPermit {
    _shared: Arc<()>,
}

impl CallPermit {
    /// Creates a permit that is counted by the references to `shared`.
    pub(super) const fn new(shared: Arc<()>) -> Self {
        Self { _shared: shared }
    }
}
