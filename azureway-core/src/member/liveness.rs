//! The ordered liveness states, by which instances resolve conflicting updates.

/// The liveness that is assumed of an instance.
///
/// Of two states for the same incarnation, the greater one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// The settings or the platform list it, but nothing was received from it yet.
    Listed,
    /// A heartbeat or reply was received from it.
    Alive,
    /// It did not reply, and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it shuts down.
    Left,
}

impl Liveness {
    /// All states, in ascending order.
    pub const ALL: [Self; 5] = [
        Self::Listed,
        Self::Alive,
        Self::Suspect,
        Self::Dead,
        Self::Left,
    ];

    /// Returns whether the instance is counted among the live ones; a suspect still is.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns whether the instance is dead or has left.
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}
