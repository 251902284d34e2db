//! Attempts at requests that are forwarded unchanged, and their connections to backend servers.
//!
//! Sites differ only in the headers that carry what the router needs: a [`BackendDialect`] writes
//! and reads those. Sending, framing, classifying failures and pooling are the same for all sites.

mod answer_head;
mod answer_metadata;
mod backend_dialect;
mod body_stream;
mod cancel_handle;
mod connection;
mod eof_as_error;
mod event_splitter;
mod exchange_attempt;
mod framing;
mod idle_connection;
mod launcher;
mod pool;
mod raw_event;
mod send_request;

pub use answer_head::AnswerHead;
pub use answer_metadata::AnswerMetadata;
pub use backend_dialect::BackendDialect;
pub use body_stream::BodyStream;
pub use cancel_handle::CancelHandle;
pub use connection::BackendConnection;
pub use eof_as_error::EofAsError;
pub use event_splitter::EventSplitter;
pub use exchange_attempt::ExchangeAttempt;
pub use framing::Framing;
pub use idle_connection::IdleConnection;
pub use launcher::ExchangeLauncher;
pub use pool::ConnectionPool;
pub use raw_event::RawEvent;
