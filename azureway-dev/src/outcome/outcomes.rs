//! The parsed outcome file of a trace.

use std::str::FromStr;

use anyhow::{Context, Error, Result};

use super::{Bound, Shortfall};
use crate::replay::Summary;

/// The bounds that a replay of a trace must meet, one on each line of an outcome file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    bounds: Vec<Bound>,
}

impl Outcomes {
    /// Returns the shortfalls of the first of `summaries`, that of the product's policy.
    pub fn check(&self, summaries: &[Summary]) -> Vec<Shortfall> {
        let bounds = self.bounds.iter();
        bounds.flat_map(|b| b.check(summaries)).collect()
    }

    /// Returns the number of bounds.
    pub fn len(&self) -> usize {
        self.bounds.len()
    }

    /// Returns whether there are no bounds.
    pub fn is_empty(&self) -> bool {
        self.bounds.is_empty()
    }
}

impl FromStr for Outcomes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bounds = Vec::new();
        for line in text.lines() {
            // The comment after "#" gives the origin of the bound.
            let content = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = content.split_whitespace().collect();
            if !words.is_empty() {
                let bound = Bound::parse(&words);
                bounds.push(bound.with_context(|| format!("invalid bound: {line:?}"))?);
            }
        }
        Ok(Self { bounds })
    }
}
