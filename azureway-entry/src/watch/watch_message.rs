//! The input of the watching duty: its selection and the stop signal.

/// A message to the watching duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMessage {
    /// Whether this entry instance is one of the few of its zone that watch the configuration.
    Selected(bool),
    /// The daemon shuts down.
    Stop,
}
