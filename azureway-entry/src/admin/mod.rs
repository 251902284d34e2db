//! The operators' interface: state, explanations and shutdown, on an address of its own.
//!
//! Callers cannot reach it, so that neither their load nor their mistakes meet operators'
//! requests. Beyond loopback each request must bear the operators' key.

mod admin_duty;
mod admin_error;
mod admin_handles;
mod explainer;

pub use admin_duty::AdminDuty;
pub use admin_error::AdminError;
pub use admin_handles::AdminHandles;
pub use explainer::Explainer;
