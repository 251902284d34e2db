//! The two ranks of requests, which decide the order of service.

use std::fmt;

/// The rank of a request. Urgent requests are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rank {
    /// A person waits for the answer.
    Urgent,
    /// The answer may come later.
    Drafting,
}

impl Rank {
    /// All ranks in the order in which they are served.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Drafting];

    /// Returns the rank with the name `text`.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|r| r.as_str() == text)
    }

    /// Returns the name of the rank.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Drafting => "drafting",
        }
    }

    /// Returns the index of the rank in [`Rank::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
