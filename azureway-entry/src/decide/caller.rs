//! What the deciding duty keeps of a caller.

use std::sync::Arc;

use azureway_core::prelude::{
    AccountId, Attempt, Finish, PrefixKey, Rank, ServerId, Timestamp, TokenCount,
};
use flume::Sender;

use crate::admit::UpstreamRequest;
use crate::caller::RequestUpdate;
use crate::meter::{FinishedRequest, MetricEvent};

/// What the deciding duty keeps of a caller: bytes and rings, which the core never sees.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What a relay carries.
    pub upstream: Arc<UpstreamRequest>,
    /// Where the outcome goes.
    pub updates: Sender<RequestUpdate>,
    /// The rank.
    pub rank: Rank,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The key of the prefix that places it.
    pub prefix: PrefixKey,
    /// The client account.
    pub account: AccountId,
    /// The prompt tokens that the server of the last try was believed to hold.
    pub believed: TokenCount,
    /// The server of the last try.
    pub server: Option<ServerId>,
    /// When the first token came.
    pub first: Option<Timestamp>,
}

impl Caller {
    /// Returns the name of the server of the last try, for logs.
    pub fn peer(&self) -> &str {
        self.server.as_ref().map_or("", ServerId::as_str)
    }

    /// Returns the milliseconds from the request's arrival to `at`, for logs.
    pub fn since(&self, at: Timestamp) -> u64 {
        u64::try_from(at.since(self.arrived).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the measure of a try that begins at `now`.
    pub fn sent(&self, attempt: Attempt, now: Timestamp) -> MetricEvent {
        match attempt.number {
            1 => MetricEvent::Sent(self.rank, now.since(self.arrived)),
            _ => MetricEvent::Retried,
        }
    }

    /// Returns the measure of a whole answer that ended at `now`.
    pub fn served(self, finish: &Finish, now: Timestamp) -> FinishedRequest {
        FinishedRequest {
            account: self.account,
            rank: self.rank,
            prompt: self.prompt,
            cached: finish.cached,
            expected_cached: self.believed,
            output: finish.output,
            stream_time: now.since(self.first.unwrap_or(now)),
        }
    }
}
