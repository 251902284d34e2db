//! The interface of callers that are routed by host and path, whose requests and answers are
//! forwarded unchanged.
//!
//! Connections are persistent. Sites differ only in the headers that carry what the router needs: a
//! [`CallerDialect`] reads those.

mod answer;
mod answer_end;
mod call_metadata;
mod call_reader;
mod caller_dialect;
mod connection;
mod disconnect_watch;
mod disconnect_watcher;
mod idle_wait;
mod in_flight;
mod in_flight_guard;
mod listener;
mod prefixed_reader;
mod prompt_part;
mod reserved_reader;
mod responder;
mod response_head;
mod serving_state;
mod watched_callers;

pub use answer::RoutedAnswer;
pub use answer_end::AnswerEnd;
pub use call_metadata::CallMetadata;
pub use call_reader::RoutedCallReader;
pub use caller_dialect::CallerDialect;
pub use connection::RoutedConnection;
pub use disconnect_watch::DisconnectWatch;
pub use disconnect_watcher::DisconnectWatcher;
pub use idle_wait::IdleWait;
pub use in_flight::InFlight;
pub use in_flight_guard::InFlightGuard;
pub use listener::RoutedListener;
pub use prefixed_reader::PrefixedReader;
pub use prompt_part::PromptPart;
pub use reserved_reader::ReservedReader;
pub use responder::RoutedResponder;
pub use response_head::ResponseHead;
pub use serving_state::ServingState;
use watched_callers::WatchedCallers;
