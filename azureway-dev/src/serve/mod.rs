//! A whole system on loopback in one process.

mod layout;
mod running_entry;
mod system;

pub use layout::Layout;
pub use running_entry::RunningEntry;
pub use system::System;
