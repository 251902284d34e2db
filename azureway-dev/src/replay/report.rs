//! The report of the replay of one trace: measures, bounds and shortfalls.

use std::fmt::{self, Write as _};

use serde_json::json;

use super::{Summary, Table};
use crate::outcome::{KnownShortfalls, Shortfall};

/// The report of the replay of one trace.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the trace.
    pub name: String,
    /// The seed of the trace.
    pub seed: u64,
    /// The summaries of the policies, that of the product's first.
    pub summaries: Vec<Summary>,
    /// The number of bounds.
    pub bounds: usize,
    /// The bounds that the product's policy does not meet.
    pub shortfalls: Vec<Shortfall>,
    /// The known shortfalls of the trace.
    pub known: KnownShortfalls,
}

impl Report {
    /// Returns whether every shortfall is known.
    pub fn passes(&self) -> bool {
        self.shortfalls.iter().all(|s| self.known.contains(s))
    }

    /// Returns the verdict as text, with a line for each shortfall.
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
            // Writing to a string cannot fail.
            let _ = writeln!(text, "  {known}: {shortfall}");
        }
        for measure in self.known.resolved(&self.shortfalls) {
            let _ = writeln!(text, "  listed as known red, but holds: {measure}");
        }
        text
    }

    /// Returns the lines to add to KNOWN-RED.txt, or an empty string if all bounds hold.
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

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be serialised.
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
