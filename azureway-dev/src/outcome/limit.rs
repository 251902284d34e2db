//! What a measure is held against.

use super::Measure;

/// What a measure is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// A number.
    Number(f64),
    /// The same measure under every baseline policy.
    Baselines,
    /// Another measure under the same policy.
    Measure(Measure),
}

impl Limit {
    /// Reads a limit.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "baselines" {
            return Some(Self::Baselines);
        }
        let measure = Measure::parse(text).map(Self::Measure);
        measure.or_else(|| text.parse().ok().map(Self::Number))
    }
}
