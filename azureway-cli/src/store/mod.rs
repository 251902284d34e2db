//! Storage of the document and its audit trail in the platform's object API.

mod document_store;
mod edit_driver;

pub(crate) use document_store::DocumentStore;
pub(crate) use edit_driver::EditDriver;
