//! A trace's record of a request, from which the replay builds its prompt.

use std::fmt;

use super::WorkKind;

/// A request of a trace, received by the replayed entry or by another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceRequest {
    /// The name of the client account.
    pub account: String,
    /// The kind of work.
    pub kind: WorkKind,
    /// The worth of an answer on time.
    pub worth: u64,
    /// The longest time to first token that the caller accepts, in milliseconds.
    pub ttft_limit: u64,
    /// The length of the answer, in tokens.
    pub output: u64,
    /// The names of the shared levels of the prompt, the most widely shared first.
    pub levels: Vec<String>,
    /// The length of the part of the prompt that no other request shares, in tokens.
    pub unique_tokens: u64,
    /// Whether it crashes every engine that runs it. All such requests of a trace are identical.
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
