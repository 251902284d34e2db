//! Who asks for what: from a call to a request that the decisions understand.

mod admitted;
mod admitter;
mod call;
mod explain_call;
mod message;
mod reader;
mod upstream_request;

pub use admitted::Admitted;
pub use admitter::Admitter;
pub use call::Call;
pub use explain_call::{ExplainCall, ExplainReply};
pub use message::AdmitMessage;
pub use reader::CallReader;
pub use upstream_request::UpstreamRequest;
