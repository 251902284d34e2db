//! Which entries watch the platform's configuration, and when.

mod answered_call;
mod change_bound;
mod change_times;
mod disturbance;
mod disturbance_meter;
mod entry_selector;
mod feed_audience;
mod report_times;
mod watch_schedule;
mod watch_step;
mod zone_readers;

pub use answered_call::AnsweredCall;
pub use change_bound::ChangeBound;
pub use change_times::ChangeTimes;
pub use disturbance::Disturbance;
pub use disturbance_meter::DisturbanceMeter;
pub use entry_selector::EntrySelector;
pub use feed_audience::FeedAudience;
pub use report_times::ReportTimes;
pub use watch_schedule::WatchSchedule;
pub use watch_step::WatchStep;
pub use zone_readers::ZoneReaders;
