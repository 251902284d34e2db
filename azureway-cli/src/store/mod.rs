//! The document and its audit trail in the platform's object API.

mod document_store;
mod driver;

pub(crate) use document_store::DocumentStore;
pub(crate) use driver::Driver;
