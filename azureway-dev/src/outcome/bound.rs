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
    pub enough: Option<f64>,
}

impl Bound {
    /// Reads a bound from its words.
    pub fn parse(words: &[&str]) -> Option<Self> {
        let (&[measure, relation, limit], rest) = words.split_first_chunk()?;
        let enough = match rest {
            [] => None,
            ["or", number] => Some(number.parse().ok()?),
            _ => return None,
        };
        Some(Self {
            measure: Measure::parse(measure)?,
            relation: Relation::parse(relation)?,
            limit: Limit::parse(limit)?,
            enough,
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
        let kept = |limit: f64| self.relation.holds(value, limit);
        if kept(limit) || self.enough.is_some_and(kept) {
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
