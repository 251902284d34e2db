//! What becomes of the runs of a server that loads weights.

/// What becomes of the runs of a server that loads weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadMode {
    /// The server ends its runs first and takes no work meanwhile, so that the longest run
    /// holds up the load.
    #[default]
    Drain,
    /// The runs go on under the new weights after a pause as long as the load.
    Swap,
}
