//! The operators' interface: status, explanations and drain, on a separate address.
//!
//! Callers cannot reach this address, so neither their load nor their errors affect operators.
//! On an address other than loopback each request must carry the operators' key.

mod admin_duty;
mod admin_error;
mod admin_handles;
mod explainer;

pub use admin_duty::AdminDuty;
pub use admin_error::AdminError;
pub use admin_handles::AdminHandles;
pub use explainer::Explainer;
