//! The kinds of requests that a flood server tells apart.

/// The kind of a request to a [`FloodServer`](super::FloodServer). The request names it anywhere in
/// its head or body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// A long answer as a stream of events.
    Stream,
    /// A long answer with a length.
    Sized,
    /// The server reads the body of the request a few bytes a second.
    SlowRead,
    /// A short answer.
    Short,
}

impl FloodKind {
    /// The kinds with an answer of their own.
    pub(super) const SPECIAL: [Self; 3] = [Self::Stream, Self::Sized, Self::SlowRead];

    /// Returns the word by which a request names the kind.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Stream => "flood-stream",
            Self::Sized => "flood-sized",
            Self::SlowRead => "flood-slow-read",
            Self::Short => "flood-short",
        }
    }
}
