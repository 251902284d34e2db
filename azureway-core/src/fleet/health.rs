//! Whether a backend server may be given work.

/// Whether a backend server may be given work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Nothing speaks against it.
    #[default]
    Live,
    /// It failed and may be tried again later.
    Suspect,
    /// It is leaving: requests in flight end there, and new ones go elsewhere.
    Leaving,
}

impl Health {
    /// Returns the name of the state.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
        }
    }
}
