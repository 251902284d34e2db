//! Traces: the requests and incidents that one entry instance meets, in a text format.

mod header;
mod incident;
mod parse;
mod peer_request;
mod prompt_levels;
mod record;
mod recorded;
mod trace_request;
mod work_kind;

pub use header::Header;
pub use incident::Incident;
pub use peer_request::PeerRequest;
pub use prompt_levels::PromptLevels;
pub use record::Record;
pub use recorded::Trace;
pub use trace_request::TraceRequest;
pub use work_kind::WorkKind;
