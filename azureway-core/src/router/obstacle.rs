//! Why a backend server does not get a request.

/// Why a backend server does not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obstacle {
    /// It is leaving.
    Leaving,
    /// It failed and is left alone for a while.
    Suspect,
    /// It has other weights loaded.
    Weights,
    /// This entry fills its share of the server's slots.
    Full,
    /// A nearer server is good enough.
    Far,
    /// Another server is estimated to be as good or better.
    Behind,
}

impl Obstacle {
    /// Returns the name of the obstacle.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Weights => "weights",
            Self::Full => "full",
            Self::Far => "far",
            Self::Behind => "behind",
        }
    }
}
