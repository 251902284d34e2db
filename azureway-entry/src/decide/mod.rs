//! The deciding duty: the core with its clock, its callers and its helpers.

mod cache_run;
mod caller;
mod callers;
mod decider;
mod note;
mod peer_word;
mod question;
mod standing;
mod version_news;

pub use cache_run::CacheRun;
pub use caller::Caller;
pub use callers::Callers;
pub use decider::Decider;
pub use note::DecideNote;
pub use peer_word::PeerWord;
pub use question::Question;
pub use standing::Standing;
pub use version_news::VersionNews;
