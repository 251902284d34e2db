//! How a measure is held against its limit.

use std::fmt;

/// How a measure is held against its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It is at most the limit.
    AtMost,
    /// It is at least the limit.
    AtLeast,
    /// It is below the limit.
    Below,
}

impl Relation {
    /// Returns the relation that `text` names.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "<=" => Some(Self::AtMost),
            ">=" => Some(Self::AtLeast),
            "<" => Some(Self::Below),
            _ => None,
        }
    }

    /// Tells whether `value` is as it should be.
    pub fn holds(self, value: f64, limit: f64) -> bool {
        match self {
            Self::AtMost => value <= limit,
            Self::AtLeast => value >= limit,
            Self::Below => value < limit,
        }
    }
}

impl fmt::Display for Relation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
            Self::Below => "<",
        })
    }
}
