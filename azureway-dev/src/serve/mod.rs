//! A whole system on loopback, in one process.

mod entry_slot;
mod layout;
mod system;

pub use entry_slot::EntrySlot;
pub use layout::Layout;
pub use system::System;
