//! Messages of azureway, each a type of its own, with conversions from and to the types of
//! the core. Decisions never see these types.

pub mod admin;
pub mod change;
pub mod chat;
pub mod claim;
pub mod engine;
pub mod error;
pub mod header;
pub mod instance;
pub mod object;
pub mod order;
pub mod peer;
pub mod sse;
