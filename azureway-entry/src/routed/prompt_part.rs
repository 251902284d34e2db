//! A part of a prompt, which callers describe to the router by its ID and length.

use azureway_core::prelude::TokenCount;

/// A part of a prompt, identified by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// The ID of the part: parts with the same content have the same ID.
    pub id: &'a str,
    /// The length of the part, in tokens.
    pub tokens: TokenCount,
}
