//! Callers' connections: reading of requests and writing of answers.

mod answer;
mod answer_chunk;
mod bad_input;
mod body_reader;
mod caller_link;
mod completion_builder;
mod connection;
mod head;
mod head_reader;
mod is_open;
mod link_state;
mod listener;
mod refuser;
mod request_update;
mod responder;
mod timed_stream;

pub use answer::Answer;
pub use answer_chunk::AnswerChunk;
pub use bad_input::BadInput;
pub use body_reader::BodyReader;
pub use caller_link::CallerLink;
pub use completion_builder::CompletionBuilder;
pub use connection::Connection;
pub use head::Head;
pub use head_reader::HeadReader;
pub use is_open::is_open;
pub use listener::Listener;
pub use refuser::Refuser;
pub use request_update::RequestUpdate;
pub use responder::Responder;
pub use timed_stream::TimedStream;
