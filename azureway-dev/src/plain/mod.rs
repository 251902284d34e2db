//! A simulated plain service.

mod plain_service;
mod run_counts;

pub use plain_service::PlainService;
pub use run_counts::RunCounts;
