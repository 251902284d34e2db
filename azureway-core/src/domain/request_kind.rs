//! Whether a request is repeatable or must run at most once.

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Running the request again does no harm.
    Repeatable,
    /// The request runs at most once, such as an order or a deposit.
    AtMostOnce,
}

impl RequestKind {
    /// Returns the kind with the name `text`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "repeatable" => Some(Self::Repeatable),
            "at-most-once" => Some(Self::AtMostOnce),
            _ => None,
        }
    }

    /// Returns the name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::AtMostOnce => "at-most-once",
        }
    }
}
