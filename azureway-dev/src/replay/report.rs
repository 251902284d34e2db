//! What a replay reports.

use std::fmt::{self, Write as _};

use serde_json::json;

use super::{Summary, Table};
use crate::outcome::{KnownShortfalls, Shortfall};

/// What the replay of one trace reports.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the trace.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// The measures, those of the product first.
    pub summaries: Vec<Summary>,
    /// The number of stated bounds.
    pub bounds: usize,
    /// Where the product falls short.
    pub shortfalls: Vec<Shortfall>,
    /// The shortfalls that are known.
    pub known: KnownShortfalls,
}

impl Report {
    /// Tells whether every shortfall is known.
    pub fn passes(&self) -> bool {
        self.shortfalls.iter().all(|s| self.known.contains(s))
    }

    /// Returns the verdict in lines of text.
    pub fn verdict(&self) -> String {
        let word = match (self.shortfalls.is_empty(), self.passes()) {
            (true, _) => "holds",
            (false, true) => "falls short as known",
            (false, false) => "falls short",
        };
        let mut text = format!("{}: {word}, {} bounds\n", self.name, self.bounds);
        for shortfall in &self.shortfalls {
            let known = if self.known.contains(shortfall) {
                "known red"
            } else {
                "RED"
            };
            // Writing to a string does not fail.
            let _ = writeln!(text, "  {known}: {shortfall}");
        }
        for measure in self.known.resolved(&self.shortfalls) {
            let _ = writeln!(text, "  listed as known red, but holds: {measure}");
        }
        text
    }

    /// Returns the entry for KNOWN-RED.txt, or nothing if the outcomes hold.
    pub fn known_entry(&self) -> String {
        let mut distinct: Vec<&Shortfall> = Vec::new();
        for shortfall in &self.shortfalls {
            if distinct.iter().all(|w| w.measure != shortfall.measure) {
                distinct.push(shortfall);
            }
        }
        if distinct.is_empty() {
            return String::new();
        }
        let measures: Vec<&str> = distinct.iter().map(|s| s.measure.as_str()).collect();
        let seen: Vec<String> = distinct.iter().map(ToString::to_string).collect();
        let Self { name, seed, .. } = self;
        format!(
            "replay {name}: {}\n  \
             command: cargo run --release -p azureway-dev -- replay testdata/traces/{name}.trace\n  \
             seed: {seed}; issue: 6\n  seen: {}\n\n",
            measures.join(" "),
            seen.join("; ")
        )
    }

    /// Returns everything in JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if a measure cannot be written.
    pub fn json(&self) -> serde_json::Result<String> {
        let shortfalls: Vec<String> = self.shortfalls.iter().map(Shortfall::to_string).collect();
        serde_json::to_string_pretty(&json!({
            "trace": self.name,
            "seed": self.seed,
            "policies": self.summaries,
            "shortfalls": shortfalls,
            "holds": self.shortfalls.is_empty(),
        }))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, seed {}\n", self.name, self.seed)?;
        writeln!(f, "{}", Table::new(&self.summaries))
    }
}
