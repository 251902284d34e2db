//! The admitting duty: authenticates calls and turns them into requests for the router.

mod admitted_request;
mod admitter;
mod call;
mod chat_calls;
mod explain_call;
mod message;
mod passthrough;
mod read_call;
mod reader;
mod request_ids;
mod upstream_request;

pub use admitted_request::AdmittedRequest;
pub use admitter::Admitter;
pub use call::Call;
pub use chat_calls::ChatCalls;
pub use explain_call::{ExplainCall, ExplainReply};
pub use message::AdmitMessage;
pub use passthrough::Passthrough;
pub use read_call::ReadCall;
pub use reader::CallReader;
pub use request_ids::RequestIds;
pub use upstream_request::UpstreamRequest;
