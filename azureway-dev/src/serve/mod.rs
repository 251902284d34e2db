//! A whole system on loopback, in one process.

mod layout;
mod system;

pub use layout::Layout;
pub use system::System;
