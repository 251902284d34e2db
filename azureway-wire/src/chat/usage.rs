//! The token counts in an answer.

use serde::{Deserialize, Serialize};

use super::UsageDetails;

/// The token usage of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens in the answer.
    pub completion_tokens: u64,
    /// The breakdown of the prompt tokens.
    #[serde(default, rename = "prompt_tokens_details")]
    pub prompt_details: UsageDetails,
}
