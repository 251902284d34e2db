//! What became of a request.

use std::time::Duration;

use azureway_core::prelude::{Rank, Refusal, RefusalReason, Timestamp};

use super::Links;
use crate::trace::{TraceRequest, WorkKind};

/// What became of a request, as its caller sees it.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// The client account.
    pub account: String,
    /// What it was for.
    pub kind: WorkKind,
    /// What an answer in time is worth.
    pub worth: u64,
    /// The tokens of prompt and answer.
    pub total_tokens: u64,
    /// The tokens of the answer.
    pub output: u64,
    /// The time to first token that the caller allows.
    pub ttft_limit: Duration,
    /// When it arrived.
    pub arrived: Timestamp,
    /// The time to first token.
    pub ttft: Option<Duration>,
    /// The times between two tokens, in milliseconds.
    pub gaps: Vec<u64>,
    /// The tokens that the caller has.
    pub received: u64,
    /// Whether the answer ended well.
    pub finished: bool,
    /// The refusal, if there was one.
    pub refusal: Option<Refusal>,
    /// Whether the entry restarted while it was under way.
    pub dropped: bool,
    /// The tries.
    pub attempts: u32,
    /// The engines that took it.
    pub runs: u32,
    last_token: Timestamp,
}

impl RequestLog {
    /// Creates the log of a request that arrived at `now` with a prompt of `prompt` tokens.
    pub fn new(request: &TraceRequest, prompt: u64, now: Timestamp) -> Self {
        Self {
            account: request.account.clone(),
            kind: request.kind,
            worth: request.worth,
            total_tokens: prompt + request.output,
            output: request.output,
            ttft_limit: Duration::from_millis(request.ttft_limit),
            arrived: now,
            ttft: None,
            gaps: Vec::new(),
            received: 0,
            finished: false,
            refusal: None,
            dropped: false,
            attempts: 0,
            runs: 0,
            last_token: now,
        }
    }

    /// Notes the token at `position` of the answer, which reached the entry at `at`.
    pub fn receive(&mut self, position: u64, at: Timestamp) {
        if position != self.received + 1 {
            return;
        }
        self.received = position;
        if self.ttft.is_none() {
            self.ttft = Some(at.since(self.arrived) + Links::CALLER_DELAY * 2);
        } else {
            let gap = at.since(self.last_token).as_millis();
            self.gaps.push(u64::try_from(gap).unwrap_or(u64::MAX));
        }
        self.last_token = at;
    }

    /// Returns the rank.
    pub const fn rank(&self) -> Rank {
        self.kind.rank()
    }

    /// Tells whether the request was answered whole and its first token was in time.
    pub fn is_on_time(&self) -> bool {
        self.finished && self.ttft.is_some_and(|t| t <= self.ttft_limit)
    }

    /// Tells whether the request was refused, truly, since the platform could not be asked
    /// whether it has run before. No policy can serve such a request.
    pub fn is_unclaimed(&self) -> bool {
        let refusal = self.refusal.as_ref();
        refusal.is_some_and(|r| r.not_run && r.reason == RefusalReason::ClaimUnavailable)
    }

    /// Tells whether the request got an answer or a refusal.
    pub const fn is_answered(&self) -> bool {
        self.finished || self.refusal.is_some() || self.dropped
    }
}
