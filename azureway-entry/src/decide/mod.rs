//! The deciding duty: the core with its clock, its callers and its helpers.

mod cache_run;
mod caller;
mod callers;
mod daemon_status;
mod decider;
mod message;
mod peer_word;
mod question;
mod version_news;

pub use cache_run::CacheRun;
pub use caller::Caller;
pub use callers::Callers;
pub use daemon_status::DaemonStatus;
pub use decider::Decider;
pub use message::DecideMessage;
pub use peer_word::PeerWord;
pub use question::Question;
pub use version_news::VersionNews;
