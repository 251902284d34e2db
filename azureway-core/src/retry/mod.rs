//! Retries: budgets that bound their number, and the backoff between attempts.

mod backoff;
mod budget;
mod budgets;
mod slack;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use budgets::RetryBudgets;
pub use slack::RetrySlack;
