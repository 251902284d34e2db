//! How far a load has come, by what its server tells.

/// The state of a load that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadProgress {
    /// The server may still be loading.
    Loading,
    /// The server has the weights.
    Loaded,
    /// The state is that of an earlier order or of an earlier incarnation.
    Outdated,
    /// The server carries out no order and has other weights, so the load has to be ordered again.
    Idle,
}
