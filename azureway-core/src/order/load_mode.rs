//! Whether a server completes or pauses its running requests when it loads weights.

/// The way a server treats its running requests when it loads weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadMode {
    /// The server first completes its running requests and accepts no others, so that the longest
    /// one delays the load.
    #[default]
    Drain,
    /// The running requests pause for the load and continue with the new weights.
    Swap,
}
