//! A stated outcome that a replay falls short of.

use std::fmt;

use super::{Measure, Relation};

/// A stated outcome that a replay falls short of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortfall {
    /// The measure.
    pub measure: Measure,
    /// The relation that does not hold.
    pub relation: Relation,
    /// The value that was measured.
    pub value: f64,
    /// The limit.
    pub limit: f64,
    /// Where the limit comes from.
    pub source: &'static str,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            measure,
            relation,
            value,
            limit,
            source,
        } = self;
        write!(
            f,
            "{measure} is {value:.1}, not {relation} {limit:.1} ({source})"
        )
    }
}
