//! The content of a site's headers for a call: identity, time limit and parts of the prompt.

use std::time::Duration;

use azureway_core::prelude::TokenCount;
use smallvec::SmallVec;

use super::PromptPart;

/// The metadata of a call, read from the site's own headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata<'a> {
    /// The ID that the caller gave to this attempt.
    pub attempt_id: Option<&'a str>,
    /// The API key.
    pub api_key: Option<&'a str>,
    /// The time that the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The parts of the prompt in order. The last one is specific to the request or its session.
    pub parts: SmallVec<[PromptPart<'a>; 6]>,
    /// The largest number of tokens that the answer may have.
    pub max_output: TokenCount,
    /// The tokens that the caller states for the prompt and the longest answer together.
    pub usage: Option<TokenCount>,
}

impl<'a> CallMetadata<'a> {
    /// Returns the IDs of the parts of the prompt that other requests may share: all but the last.
    pub fn shared_part_ids(&self) -> SmallVec<[&'a str; 6]> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|part| part.id).collect()
    }
}
