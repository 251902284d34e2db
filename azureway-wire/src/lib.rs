//! The message types of azureway's interfaces, with conversions from and to the types of
//! `azureway-core`. Decision code never uses these types.

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
pub mod quarantine;
pub mod retirement;
pub mod sse;
