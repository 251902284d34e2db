//! A part of a prompt.

use azureway_core::prelude::TokenCount;

/// A part of a prompt, as the caller names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// Its identity: equal parts bear the same.
    pub id: &'a str,
    /// Its length.
    pub tokens: TokenCount,
}
