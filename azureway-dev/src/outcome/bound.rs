//! One bound of an outcome file, and the check of a replay's measures against it.

use super::{Limit, Measure, Relation, Shortfall};
use crate::replay::Summary;

/// A bound on a measure, such as `hit >= baselines or 50`.
///
/// A bound with a number after `or` also holds if the measure meets that number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The measure that is bounded.
    pub measure: Measure,
    /// The relation of the measure to the limit.
    pub relation: Relation,
    /// The limit that the measure is compared with.
    pub limit: Limit,
    /// A limit that suffices if `limit` is not met.
    pub alternative: Option<f64>,
}

impl Bound {
    /// Parses a bound from the words of a line, or returns `None` if they are not one.
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

    /// Returns the shortfalls of the first of `summaries`, that of the product's policy. The
    /// others are those of the baseline policies.
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
