//! One stated outcome.

use super::{Limit, Measure, Relation, Shortfall};
use crate::replay::Summary;

/// One stated outcome: a measure and what it is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The measure.
    pub measure: Measure,
    /// The relation.
    pub relation: Relation,
    /// The limit.
    pub limit: Limit,
}

impl Bound {
    /// Reads a bound from its words.
    pub fn parse(words: &[&str]) -> Option<Self> {
        let &[measure, relation, limit] = words else {
            return None;
        };
        Some(Self {
            measure: Measure::parse(measure)?,
            relation: Relation::parse(relation)?,
            limit: Limit::parse(limit)?,
        })
    }

    /// Returns where the first of `summaries`, the product's, falls short of the bound.
    pub fn check(&self, summaries: &[Summary]) -> Vec<Shortfall> {
        let Some((product, baselines)) = summaries.split_first() else {
            return Vec::new();
        };
        match self.limit {
            Limit::Number(limit) => self.hold(product, limit, "the bound"),
            Limit::Measure(other) => self.hold(product, other.value(product), other.as_str()),
            Limit::Baselines => baselines
                .iter()
                .flat_map(|b| self.hold(product, self.measure.value(b), b.policy))
                .collect(),
        }
    }

    fn hold(&self, product: &Summary, limit: f64, against: &'static str) -> Vec<Shortfall> {
        let value = self.measure.value(product);
        if self.relation.holds(value, limit) {
            return Vec::new();
        }
        vec![Shortfall {
            measure: self.measure,
            relation: self.relation,
            value,
            limit,
            against,
        }]
    }
}
