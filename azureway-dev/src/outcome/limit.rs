//! The right-hand side of a bound: a number, a measure or the baselines.

use super::Measure;

/// The limit that a measure is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// A fixed number.
    Number(f64),
    /// The value of the same measure under each of the baseline policies.
    Baselines,
    /// The value of another measure under the same policy.
    Measure(Measure),
}

impl Limit {
    /// Parses a limit: `baselines`, the name of a measure or a number.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "baselines" {
            return Some(Self::Baselines);
        }
        let measure = Measure::parse(text).map(Self::Measure);
        measure.or_else(|| text.parse().ok().map(Self::Number))
    }
}
