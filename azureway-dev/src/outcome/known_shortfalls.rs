//! Reads from KNOWN-RED.txt which shortfalls do not fail a replay.

use super::{Measure, Shortfall};

/// The shortfalls of a trace that KNOWN-RED.txt lists, which do not fail a replay.
///
/// An item of the list starts with the line `replay NAME: MEASURE...`. Its other lines are for
/// readers and are ignored.
#[derive(Clone, Debug, Default)]
pub struct KnownShortfalls {
    measures: Vec<Measure>,
}

impl KnownShortfalls {
    /// Returns the shortfalls that the list `text` has for the trace `name`.
    pub fn for_trace(name: &str, text: &str) -> Self {
        let prefix = format!("replay {name}:");
        let lines = text.lines().filter_map(|l| l.strip_prefix(&prefix));
        let words = lines.flat_map(str::split_whitespace);
        Self {
            measures: words.filter_map(Measure::parse).collect(),
        }
    }

    /// Returns whether the measure of a shortfall is listed.
    pub fn contains(&self, shortfall: &Shortfall) -> bool {
        self.measures.contains(&shortfall.measure)
    }

    /// Returns the listed measures that none of `shortfalls` concerns.
    pub fn resolved(&self, shortfalls: &[Shortfall]) -> Vec<Measure> {
        let missed = |m: &Measure| shortfalls.iter().any(|s| s.measure == *m);
        let measures = self.measures.iter().copied();
        measures.filter(|m| !missed(m)).collect()
    }
}
