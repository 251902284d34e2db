//! When a request is tried again.

mod backoff;
mod budget;
mod budgets;
mod slack;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use budgets::RetryBudgets;
pub use slack::RetrySlack;
