//! One try of a request that is passed on unchanged, and the connections that it uses.
//!
//! What differs between sites is how a try and its answer spell what the decisions need: a
//! [`BackendDialect`] knows that. Sending, framing, judging and pooling are the same everywhere.

mod answer_head;
mod answer_terms;
mod asking;
mod backend_dialect;
mod body_stream;
mod connection;
mod event_splitter;
mod exchange_try;
mod framing;
mod idle_connection;
mod launcher;
mod pool;
mod sent_event;
mod try_handle;
mod unbroken;

pub use answer_head::AnswerHead;
pub use answer_terms::AnswerTerms;
pub use backend_dialect::BackendDialect;
pub use body_stream::BodyStream;
pub use connection::BackendConnection;
pub use event_splitter::EventSplitter;
pub use exchange_try::ExchangeTry;
pub use framing::Framing;
pub use idle_connection::IdleConnection;
pub use launcher::ExchangeLauncher;
pub use pool::ConnectionPool;
pub use sent_event::SentEvent;
pub use try_handle::TryHandle;
pub use unbroken::Unbroken;
