//! Why a request would go where.

use serde::{Deserialize, Serialize};

use super::OptionBody;

/// Why a request would go where it would go.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplainBody {
    /// The service.
    pub service: Box<str>,
    /// The client account.
    pub account: Box<str>,
    /// The rank.
    pub rank: Box<str>,
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The servers of the service's pool, in the order of their names.
    pub options: Vec<OptionBody>,
}
