//! How requests ended, and what that was worth.

mod open_request;
mod outcome;
mod outcome_count;
mod outcome_tally;

pub use open_request::OpenRequest;
pub use outcome::Outcome;
pub use outcome_count::OutcomeCount;
pub use outcome_tally::OutcomeTally;
