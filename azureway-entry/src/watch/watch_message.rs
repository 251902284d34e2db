//! What the watching duty is told.

/// What the watching duty is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// Whether this entry is one of the few of its zone that watch.
    Selected(bool),
    /// The daemon stops.
    Stop,
}
