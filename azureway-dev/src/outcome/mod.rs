//! The bounds that a replay of a trace must meet, and the check of them.

mod bound;
mod known_shortfalls;
mod limit;
mod measure;
mod outcomes;
mod relation;
mod shortfall;

pub use bound::Bound;
pub use known_shortfalls::KnownShortfalls;
pub use limit::Limit;
pub use measure::Measure;
pub use outcomes::Outcomes;
pub use relation::Relation;
pub use shortfall::Shortfall;
