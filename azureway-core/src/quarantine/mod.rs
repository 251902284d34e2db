//! Quarantine of requests that crash backend servers, sparing those that only ran beside them.

mod crash_guard;
mod crash_site;
mod isolation;
mod quarantined;
mod strike;
mod strike_set;
mod strike_state;
mod suspect_status;

pub use crash_guard::CrashGuard;
pub use crash_site::CrashSite;
pub use isolation::Isolation;
pub use quarantined::Quarantine;
pub use strike::Strike;
pub use strike_set::StrikeSet;
pub use strike_state::StrikeState;
pub use suspect_status::SuspectStatus;
