//! A request of a trace.

use std::fmt;

use super::WorkKind;

/// A request of a trace, whether this entry or another one gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceRequest {
    /// The client account.
    pub account: String,
    /// What it is for.
    pub kind: WorkKind,
    /// What an answer in time is worth.
    pub worth: u64,
    /// The time to first token that the caller allows, in milliseconds.
    pub ttft_limit: u64,
    /// The tokens of the answer.
    pub output: u64,
    /// The names of the shared levels of the prompt, the outermost first.
    pub levels: Vec<String>,
    /// The tokens of the prompt that are this request's own.
    pub unique_tokens: u64,
    /// Whether it crashes each engine that runs it; such requests are one and the same.
    pub poison: bool,
}

impl fmt::Display for TraceRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            account,
            kind,
            worth,
            ttft_limit,
            output,
            unique_tokens,
            ..
        } = self;
        let levels = self.levels.join("/");
        let poison = if self.poison { " poison" } else { "" };
        write!(
            f,
            "{account} {kind} {worth} {ttft_limit} {output} {levels} {unique_tokens}{poison}"
        )
    }
}
