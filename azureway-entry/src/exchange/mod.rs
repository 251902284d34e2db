//! One try of a request that is passed on unchanged, and the connections that it uses.
//!
//! What differs between sites is how a try and its answer spell what the decisions need: a
//! [`BackendDialect`] knows that. Sending, framing, judging and pooling are the same everywhere.

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
