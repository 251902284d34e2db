//! The relaying duty: one thread for each attempt at a backend server.

mod attempt_error;
mod event_reader;
mod gap_meter;
mod invalid_head;
mod launch;
mod relay_attempt;
mod relay_launcher;
mod report_failure;
mod send_request;

pub use attempt_error::{AttemptError, BROKEN, FAULTY};
pub use event_reader::EventReader;
pub use gap_meter::GapMeter;
pub use invalid_head::log_invalid_head;
pub use launch::Launch;
pub use relay_attempt::RelayAttempt;
pub use relay_launcher::RelayLauncher;
pub use report_failure::{report_failure, report_unsent};
