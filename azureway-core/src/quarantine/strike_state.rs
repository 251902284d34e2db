//! How sure a strike is.

/// How sure a strike is. News of the same strike only ever raises it, so that peers agree
/// whatever the order in which they hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StrikeState {
    /// The connection went silent or the answer was bad. It does not count by itself.
    Tentative,
    /// The connection broke. The server may or may not have crashed.
    Unconfirmed,
    /// The server came back with another incarnation: it crashed.
    Confirmed,
    /// The server did not crash, or the request ran well elsewhere.
    Cleared,
}

impl StrikeState {
    /// Every state, in order.
    pub const ALL: [Self; 4] = [
        Self::Tentative,
        Self::Unconfirmed,
        Self::Confirmed,
        Self::Cleared,
    ];

    /// Tells whether the server's next words can still tell what happened.
    pub const fn is_unresolved(self) -> bool {
        matches!(self, Self::Tentative | Self::Unconfirmed)
    }
}
