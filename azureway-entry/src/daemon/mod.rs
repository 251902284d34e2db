//! The daemon: its duties and the rings between them.
//!
//! [`Entry`] serves the product's own interface, [`Gateway`] a [`Site`]. Both run the same duties
//! around the same routing core.

mod entry;
mod gateway;
mod handles;
mod parts;
mod ready_duty;
mod rings;
mod shutdown_times;
mod site;
mod spawn;
mod watchers;

pub use entry::Entry;
pub use gateway::Gateway;
pub use handles::Handles;
pub use ready_duty::ReadyDuty;
pub use rings::Rings;
pub use shutdown_times::ShutdownTimes;
pub use site::Site;
pub use spawn::spawn;
