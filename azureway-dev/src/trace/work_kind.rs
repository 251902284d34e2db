//! What a request of a trace is for.

use std::fmt;

use azureway_core::prelude::{Rank, RequestKind};

/// What a request of a trace is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkKind {
    /// A question that somebody waits on.
    Advice,
    /// The reply to a quotation.
    Quotation,
    /// An order, which may not be repeated.
    Order,
    /// A draft of a message.
    Draft,
    /// The classification of a product sheet.
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

    /// Returns the kind that `text` names.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.as_str() == text)
    }

    /// Returns the name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Advice => "advice",
            Self::Quotation => "quotation",
            Self::Order => "order",
            Self::Draft => "draft",
            Self::Classify => "classify",
        }
    }

    /// Returns the rank of this work.
    pub const fn rank(self) -> Rank {
        match self {
            Self::Advice | Self::Quotation | Self::Order => Rank::Urgent,
            Self::Draft | Self::Classify => Rank::Drafting,
        }
    }

    /// Returns whether this work may be repeated.
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
