//! How sure a strike is.

/// How sure a strike is. News of the same strike only ever raises it, so that peers agree
/// whatever the order in which they hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StrikeState {
    /// The connection broke or went silent. The server may or may not have crashed.
    Unproved,
    /// The server came back with another incarnation: it crashed.
    Confirmed,
    /// The server did not crash, or the request ran well elsewhere.
    Cleared,
}
