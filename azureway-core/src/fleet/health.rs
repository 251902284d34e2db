//! The states in which a backend server does or does not get new requests.

/// The health state of a backend server, which decides whether it gets new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The server gets new requests.
    #[default]
    Live,
    /// The server failed recently and gets no requests until its retry time.
    Suspect,
    /// The server is draining: it finishes its requests in flight and gets no new ones.
    Leaving,
}

impl Health {
    /// Returns the name of the state as reports print it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
        }
    }
}
