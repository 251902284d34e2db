//! The operators that a bound in an outcome file may use.

use std::fmt;

/// The relation that a measure must have to its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// The measure is at most the limit.
    AtMost,
    /// The measure is at least the limit.
    AtLeast,
    /// The measure is below the limit.
    Below,
}

impl Relation {
    /// Returns the relation with the given operator.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "<=" => Some(Self::AtMost),
            ">=" => Some(Self::AtLeast),
            "<" => Some(Self::Below),
            _ => None,
        }
    }

    /// Returns whether `value` has the relation to `limit`.
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
