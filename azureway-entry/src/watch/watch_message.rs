//! Messages to the watching duty.

/// A message to the watching duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// Whether this entry is one of the few of its zone that watch the configuration.
    Selected(bool),
    /// The daemon shuts down.
    Stop,
}
