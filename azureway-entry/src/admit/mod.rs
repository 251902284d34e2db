//! Who asks for what: from a call to a request that the decisions understand.

mod admitted;
mod admitter;
mod call;
mod errand;
mod explain_call;
mod note;
mod reader;

pub use admitted::Admitted;
pub use admitter::Admitter;
pub use call::Call;
pub use errand::Errand;
pub use explain_call::{ExplainCall, ExplainReply};
pub use note::AdmitNote;
pub use reader::CallReader;
