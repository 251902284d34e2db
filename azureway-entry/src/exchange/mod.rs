//! Attempts at requests that are forwarded unchanged, and their connections to backend servers.
//!
//! Sites differ only in the headers that carry what the router needs: a [`BackendDialect`] writes
//! and reads those. Sending, framing, classifying failures and pooling are the same for all sites.

mod answer_head;
mod answer_metadata;
mod attempt_reports;
mod backend_dialect;
mod body_memory;
mod body_reservation;
mod body_stream;
mod call_answer;
mod call_error;
mod cancel_handle;
mod chunked_body;
mod connection;
mod eof_as_error;
mod event_splitter;
mod exchange_attempt;
mod framing;
mod handle_state;
mod idle_connection;
mod launcher;
mod metadata_report;
mod pool;
mod raw_event;
mod send_request;
mod server_call;
mod timed_socket;

pub use answer_head::AnswerHead;
pub use answer_metadata::AnswerMetadata;
pub use backend_dialect::BackendDialect;
pub use body_memory::BodyMemory;
pub use body_reservation::BodyReservation;
pub use body_stream::BodyStream;
pub use call_answer::CallAnswer;
pub use call_error::CallError;
pub use cancel_handle::CancelHandle;
pub use chunked_body::ChunkedBody;
pub use connection::BackendConnection;
pub use eof_as_error::EofAsError;
pub use event_splitter::EventSplitter;
pub use exchange_attempt::ExchangeAttempt;
pub use framing::Framing;
pub use handle_state::HandleState;
pub use idle_connection::IdleConnection;
pub use launcher::ExchangeLauncher;
pub use pool::ConnectionPool;
pub use raw_event::RawEvent;
pub use server_call::ServerCall;
pub use timed_socket::TimedSocket;
