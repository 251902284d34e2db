//! The relaying duty: one thread for each try at a backend server.

mod gap_meter;
mod launch;
mod launcher;
mod relay_error;
mod relay_try;
mod report_unsent;

pub use gap_meter::GapMeter;
pub use launch::Launch;
pub use launcher::Launcher;
pub use relay_error::RelayError;
pub use relay_try::RelayTry;
pub use report_unsent::report_unsent;
