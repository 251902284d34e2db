//! The stated outcomes of a trace.

use std::str::FromStr;

use anyhow::{Context, Error, Result};

use super::{Bound, Shortfall};
use crate::replay::Summary;

/// The stated outcomes of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    bounds: Vec<Bound>,
}

impl Outcomes {
    /// Returns where the first of `summaries`, the product's, falls short.
    pub fn check(&self, summaries: &[Summary]) -> Vec<Shortfall> {
        let bounds = self.bounds.iter();
        bounds.flat_map(|b| b.check(summaries)).collect()
    }

    /// Returns the number of bounds.
    pub fn len(&self) -> usize {
        self.bounds.len()
    }

    /// Tells whether no bound is stated.
    pub fn is_empty(&self) -> bool {
        self.bounds.is_empty()
    }
}

impl FromStr for Outcomes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bounds = Vec::new();
        for line in text.lines() {
            // What follows "#" tells where the bound comes from.
            let stated = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = stated.split_whitespace().collect();
            if !words.is_empty() {
                let bound = Bound::parse(&words);
                bounds.push(bound.with_context(|| format!("no bound: {line:?}"))?);
            }
        }
        Ok(Self { bounds })
    }
}
