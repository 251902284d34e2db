//! Requests that crash backend servers, and the bystanders of a crash.

mod crash_site;
mod guard;
mod isolation;
mod quarantined;
mod record;
mod strike;
mod strike_state;
mod suspect_status;

pub use crash_site::CrashSite;
pub use guard::Guard;
pub use isolation::Isolation;
pub use quarantined::Quarantine;
pub use record::Record;
pub use strike::Strike;
pub use strike_state::StrikeState;
pub use suspect_status::SuspectStatus;
