//! Records what the caller of each request sees, from which the measures are computed.

use std::time::Duration;

use azureway_core::prelude::{Rank, Refusal, RefusalReason, Timestamp};

use super::Links;
use crate::trace::{TraceRequest, WorkKind};

/// The course of a request of the replayed entry, as its caller sees it.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// The name of the client account.
    pub account: String,
    /// The kind of work.
    pub kind: WorkKind,
    /// The worth of an answer on time.
    pub worth: u64,
    /// The length of prompt and answer together, in tokens.
    pub total_tokens: u64,
    /// The length of the complete answer, in tokens.
    pub output: u64,
    /// The longest time to first token that the caller accepts.
    pub ttft_limit: Duration,
    /// The time of arrival at the entry.
    pub arrived: Timestamp,
    /// The time to first token, if a token was received.
    pub ttft: Option<Duration>,
    /// The times between consecutive tokens, in milliseconds.
    pub gaps: Vec<u64>,
    /// The number of answer tokens that the caller has received.
    pub received: u64,
    /// Whether the answer finished.
    pub finished: bool,
    /// The refusal, if there was one.
    pub refusal: Option<Refusal>,
    /// Whether the entry restarted while the request was in flight.
    pub dropped: bool,
    /// The number of attempts.
    pub attempts: u32,
    /// The number of engines that accepted the request.
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

    /// Records the answer token at `position`, which arrived at the entry at `at`. A token out of
    /// sequence is ignored.
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

    /// Returns the rank of the request.
    pub const fn rank(&self) -> Rank {
        self.kind.rank()
    }

    /// Returns whether the answer finished and its first token was on time.
    pub fn is_on_time(&self) -> bool {
        self.finished && self.ttft.is_some_and(|t| t <= self.ttft_limit)
    }

    /// Returns whether the request was refused without a run because the platform could not be
    /// asked whether it had run before. No policy can serve such a request.
    pub fn is_unclaimed(&self) -> bool {
        let refusal = self.refusal.as_ref();
        refusal.is_some_and(|r| r.not_run && r.reason == RefusalReason::ClaimUnavailable)
    }

    /// Returns whether the request got an answer or a refusal, or ended with a restart of the
    /// entry.
    pub const fn is_answered(&self) -> bool {
        self.finished || self.refusal.is_some() || self.dropped
    }
}
