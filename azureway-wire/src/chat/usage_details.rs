//! More on the tokens of a prompt.

use serde::{Deserialize, Serialize};

/// More on the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct UsageDetails {
    /// The tokens that were found in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
