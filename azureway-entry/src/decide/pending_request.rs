//! The deciding duty's record of an unfinished request, besides the router's state.

use std::sync::Arc;

use azureway_core::prelude::{
    AccountId, Attempt, Finish, PrefixKey, Rank, ServerId, Timestamp, TokenCount,
};
use flume::Sender;

use crate::admit::UpstreamRequest;
use crate::caller::RequestUpdate;
use crate::meter::{FinishedRequest, MetricEvent};

/// The part of an unfinished request that the core never sees: its bytes, its ring, and what logs
/// and metrics need.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The bytes that are sent to a backend server.
    pub upstream: Arc<UpstreamRequest>,
    /// The ring to the connection of the caller.
    pub updates: Sender<RequestUpdate>,
    /// The rank of the request.
    pub rank: Rank,
    /// The time at which the request arrived.
    pub arrived: Timestamp,
    /// The length of the prompt.
    pub prompt: TokenCount,
    /// The key of the prompt prefix by which the request is assigned to a server.
    pub prefix: PrefixKey,
    /// The client account that sent the request.
    pub account: AccountId,
    /// The prompt tokens that the server of the last attempt was expected to have cached.
    pub expected_cached: TokenCount,
    /// The server of the last attempt.
    pub server: Option<ServerId>,
    /// The time at which the first token arrived.
    pub first_token: Option<Timestamp>,
}

impl PendingRequest {
    /// Returns the name of the server of the last attempt, or an empty name, for the logs.
    pub fn peer(&self) -> &str {
        self.server.as_ref().map_or("", ServerId::as_str)
    }

    /// Returns the milliseconds from the arrival of the request to `at`, for the logs.
    pub fn elapsed_ms(&self, at: Timestamp) -> u64 {
        u64::try_from(at.since(self.arrived).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the metric event of an attempt that is sent at `now`.
    pub fn sent_metric(&self, attempt: Attempt, now: Timestamp) -> MetricEvent {
        match attempt.number {
            1 => MetricEvent::Sent(self.rank, now.since(self.arrived)),
            _ => MetricEvent::Retried,
        }
    }

    /// Returns the metrics of an answer that was complete at `now`.
    pub fn into_finished(self, finish: &Finish, now: Timestamp) -> FinishedRequest {
        FinishedRequest {
            account: self.account,
            rank: self.rank,
            prompt: self.prompt,
            cached: finish.cached,
            expected_cached: self.expected_cached,
            output: finish.output,
            stream_time: now.since(self.first_token.unwrap_or(now)),
        }
    }
}
