//! The `relay` subcommand, which compares calls through an entry with direct ones.

mod caller;
mod command;
mod resident_memory;
mod timing;

pub use caller::Caller;
pub use command::{command, run};
pub use resident_memory::ResidentMemory;
pub use timing::Timing;
