//! The element of [`Usage`](super::Usage) that counts the prompt tokens found in the cache.

use serde::{Deserialize, Serialize};

/// The breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct UsageDetails {
    /// The number of prompt tokens that were found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
