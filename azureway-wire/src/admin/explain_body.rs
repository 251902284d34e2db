//! The answer of an entry instance to the command `explain`, in JSON.

use serde::{Deserialize, Serialize};

use super::OptionBody;

/// The explanation of where a request would be sent, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplainBody {
    /// The requested service.
    pub service: Box<str>,
    /// The client account of the request.
    pub account: Box<str>,
    /// The rank of the request.
    pub rank: Box<str>,
    /// The length of the prompt, in tokens.
    pub prompt: u64,
    /// The servers of the service's pool, sorted by name.
    pub options: Vec<OptionBody>,
}
