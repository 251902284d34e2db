//! How callers describe a prompt to the router: by the IDs and lengths of its parts.

use azureway_core::prelude::TokenCount;

/// A part of a prompt, identified by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// The ID of the part: parts with the same content have the same ID.
    pub id: &'a str,
    /// The length of the part, in tokens.
    pub tokens: TokenCount,
}
