//! One stated outcome.

use super::{Limit, Measure, Relation, Shortfall};
use crate::replay::Summary;

/// One stated outcome: a measure and what it is held against.
///
/// A bound with a number after `or` holds as well if the measure keeps to the number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The measure.
    pub measure: Measure,
    /// The relation.
    pub relation: Relation,
    /// The limit.
    pub limit: Limit,
    /// The number that is enough as well.
    pub alternative: Option<f64>,
}

impl Bound {
    /// Reads a bound from its words.
    pub fn parse(words: &[&str]) -> Option<Self> {
        let (&[measure, relation, limit], rest) = words.split_first_chunk()?;
        let alternative = match rest {
            [] => None,
            ["or", number] => Some(number.parse().ok()?),
            _ => return None,
        };
        Some(Self {
            measure: Measure::parse(measure)?,
            relation: Relation::parse(relation)?,
            limit: Limit::parse(limit)?,
            alternative,
        })
    }

    /// Returns where the first of `summaries`, the product's, falls short of the bound.
    pub fn check(&self, summaries: &[Summary]) -> Vec<Shortfall> {
        let Some((product, baselines)) = summaries.split_first() else {
            return Vec::new();
        };
        match self.limit {
            Limit::Number(limit) => self.compare(product, limit, "the bound"),
            Limit::Measure(other) => self.compare(product, other.value(product), other.as_str()),
            Limit::Baselines => baselines
                .iter()
                .flat_map(|b| self.compare(product, self.measure.value(b), b.policy))
                .collect(),
        }
    }

    fn compare(&self, product: &Summary, limit: f64, source: &'static str) -> Vec<Shortfall> {
        let value = self.measure.value(product);
        let holds = |limit: f64| self.relation.holds(value, limit);
        if holds(limit) || self.alternative.is_some_and(holds) {
            return Vec::new();
        }
        vec![Shortfall {
            measure: self.measure,
            relation: self.relation,
            value,
            limit,
            source,
        }]
    }
}
