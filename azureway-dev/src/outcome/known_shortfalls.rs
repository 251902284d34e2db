//! The shortfalls that KNOWN-RED.txt lists.

use super::{Measure, Shortfall};

/// The shortfalls of one trace that KNOWN-RED.txt lists.
///
/// An entry starts with a line `replay NAME: MEASURE...`; what follows it is for readers.
#[derive(Clone, Debug, Default)]
pub struct KnownShortfalls {
    measures: Vec<Measure>,
}

impl KnownShortfalls {
    /// Reads the entry of the trace `name`.
    pub fn for_trace(name: &str, text: &str) -> Self {
        let head = format!("replay {name}:");
        let lines = text.lines().filter_map(|l| l.strip_prefix(&head));
        let words = lines.flat_map(str::split_whitespace);
        Self {
            measures: words.filter_map(Measure::parse).collect(),
        }
    }

    /// Tells whether a shortfall is listed.
    pub fn contains(&self, shortfall: &Shortfall) -> bool {
        self.measures.contains(&shortfall.measure)
    }

    /// Returns the measures that are listed although the replay does not fall short of them.
    pub fn resolved(&self, shortfalls: &[Shortfall]) -> Vec<Measure> {
        let missed = |m: &Measure| shortfalls.iter().any(|s| s.measure == *m);
        let measures = self.measures.iter().copied();
        measures.filter(|m| !missed(m)).collect()
    }
}
