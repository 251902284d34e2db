//! The kinds of work in a trace, which determine rank and repeatability.

use std::fmt;

use azureway_core::prelude::{Rank, RequestKind};

/// The kind of work that a request of a trace asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkKind {
    /// Advice to a person who waits for it.
    Advice,
    /// A reply to a request for a quotation.
    Quotation,
    /// An order, which must run at most once.
    Order,
    /// A draft of a message, for later use.
    Draft,
    /// The classification of a product data sheet.
    Classify,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Advice,
        Self::Quotation,
        Self::Order,
        Self::Draft,
        Self::Classify,
    ];

    /// Returns the kind with the given name in a trace.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.as_str() == text)
    }

    /// Returns the name in a trace.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Advice => "advice",
            Self::Quotation => "quotation",
            Self::Order => "order",
            Self::Draft => "draft",
            Self::Classify => "classify",
        }
    }

    /// Returns the rank of requests of this kind.
    pub const fn rank(self) -> Rank {
        match self {
            Self::Advice | Self::Quotation | Self::Order => Rank::Urgent,
            Self::Draft | Self::Classify => Rank::Drafting,
        }
    }

    /// Returns whether requests of this kind may be repeated.
    pub const fn request_kind(self) -> RequestKind {
        match self {
            Self::Order => RequestKind::AtMostOnce,
            _ => RequestKind::Repeatable,
        }
    }
}

impl fmt::Display for WorkKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
