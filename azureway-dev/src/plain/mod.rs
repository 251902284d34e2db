//! A stand-in for a plain service.

mod ledger;
mod plain_service;

pub use ledger::Ledger;
pub use plain_service::PlainService;
