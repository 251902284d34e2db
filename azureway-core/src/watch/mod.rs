//! Which entries watch the platform's configuration, and when.

mod entry_selector;
mod watch_schedule;
mod watch_step;

pub use entry_selector::EntrySelector;
pub use watch_schedule::WatchSchedule;
pub use watch_step::WatchStep;
