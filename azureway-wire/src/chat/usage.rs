//! The tokens that an answer took.

use serde::{Deserialize, Serialize};

use super::UsageDetails;

/// The tokens that an answer took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of the answer.
    pub completion_tokens: u64,
    /// More on the prompt.
    #[serde(default, rename = "prompt_tokens_details")]
    pub prompt_details: UsageDetails,
}
