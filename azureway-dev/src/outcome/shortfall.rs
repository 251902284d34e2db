//! The result of a bound that does not hold, for the report of a replay.

use std::fmt;

use super::{Measure, Relation};

/// A bound that a replay does not meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortfall {
    /// The measure that is bounded.
    pub measure: Measure,
    /// The relation that does not hold.
    pub relation: Relation,
    /// The value of the measure.
    pub value: f64,
    /// The value of the limit.
    pub limit: f64,
    /// The origin of the limit: the bound itself, another measure or a baseline policy.
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
