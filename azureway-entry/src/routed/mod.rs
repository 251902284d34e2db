//! The interface of callers who are routed by host and path, and whose requests and answers
//! are passed on unchanged.
//!
//! Connections stay open for many requests. What differs between sites is how a caller spells
//! what the decisions need: a [`CallerDialect`] knows that.

mod active;
mod active_guard;
mod answer;
mod call_metadata;
mod caller_dialect;
mod calls;
mod connection;
mod ending;
mod gate;
mod hangup_watch;
mod hangup_watcher;
mod leftover;
mod listener;
mod prompt_part;
mod responder;
mod response_head;

pub use active::Active;
pub use active_guard::ActiveGuard;
pub use answer::RoutedAnswer;
pub use call_metadata::CallMetadata;
pub use caller_dialect::CallerDialect;
pub use calls::RoutedCalls;
pub use connection::RoutedConnection;
pub use ending::Ending;
pub use gate::Gate;
pub use hangup_watch::HangupWatch;
pub use hangup_watcher::HangupWatcher;
pub use leftover::Leftover;
pub use listener::RoutedListener;
pub use prompt_part::PromptPart;
pub use responder::RoutedResponder;
pub use response_head::ResponseHead;
