//! What a call says beside its body.

use std::time::Duration;

use azureway_core::prelude::TokenCount;
use smallvec::SmallVec;

use super::PromptPart;

/// What a call says beside its body, read from a site's own headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata<'a> {
    /// The caller's own identity of this sending.
    pub attempt_id: Option<&'a str>,
    /// The API key.
    pub api_key: Option<&'a str>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The parts of the prompt in order; the last one is the request's or its session's own.
    pub parts: SmallVec<[PromptPart<'a>; 6]>,
    /// The most tokens that the answer may have.
    pub max_output: TokenCount,
}
