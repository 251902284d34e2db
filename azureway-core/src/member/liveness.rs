//! Whether an instance is believed to be alive.

/// Whether an instance is believed to be alive. At equal incarnations the greater one holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// Settings or the platform name it, and nobody has heard it.
    Listed,
    /// It was heard.
    Alive,
    /// It did not answer, and has not contradicted yet.
    Suspect,
    /// It did not contradict its suspicion in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Liveness {
    /// Every liveness, in order.
    pub const ALL: [Self; 5] = [
        Self::Listed,
        Self::Alive,
        Self::Suspect,
        Self::Dead,
        Self::Left,
    ];

    /// Tells whether the instance counts as one of those that serve.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Tells whether the instance is gone.
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}
