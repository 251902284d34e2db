//! How often and when something is tried again.

mod backoff;
mod budget;

pub use backoff::Backoff;
pub use budget::RetryBudget;
