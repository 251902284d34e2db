//! Weights that were given up for good, as the platform stores them, in JSON.

mod retirement_body;

pub use retirement_body::RetirementBody;

/// The kind of the objects that store retirements; they are named after the models.
pub const RETIREMENT_KIND: &str = "retired-weights";
