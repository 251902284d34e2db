//! Which entries ask the platform for the configuration, and when.

mod watch_choice;
mod watch_plan;
mod watch_step;

pub use watch_choice::WatchChoice;
pub use watch_plan::WatchPlan;
pub use watch_step::WatchStep;
