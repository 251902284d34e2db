//! The relay path over loopback, measured against direct calls of an engine.

mod caller;
mod command;
mod resident;
mod timing;

pub use caller::Caller;
pub use command::{command, run};
pub use resident::Resident;
pub use timing::Timing;
