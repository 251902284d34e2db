//! A benchmark of the relay path over loopback against direct calls to an engine.

mod caller;
mod command;
mod resident_memory;
mod timing;

pub use caller::Caller;
pub use command::{command, run};
pub use resident_memory::ResidentMemory;
pub use timing::Timing;
