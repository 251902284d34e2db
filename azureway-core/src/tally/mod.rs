//! Counts of finished requests and of their worth, by outcome.

mod open_request;
mod outcome;
mod outcome_count;
mod outcome_tally;

pub use open_request::OpenRequest;
pub use outcome::Outcome;
pub use outcome_count::OutcomeCount;
pub use outcome_tally::OutcomeTally;
