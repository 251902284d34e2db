//! The input of the measuring duty: measured events and scrapes.

use std::time::Duration;

use azureway_core::prelude::{AccountUse, Attempt, ConfigVersion, Rank, RefusalReason};
use flume::Sender;

use super::FinishedRequest;

/// A message to the measuring duty, most of which report one measured event.
#[derive(Clone, Debug)]
pub enum MetricEvent {
    /// The time from a request's arrival to its decision.
    RingWait(Duration),
    /// The time from a request's arrival until its first attempt was sent to a backend server.
    Sent(Rank, Duration),
    /// The time from a request's arrival to the first token of the answer.
    FirstToken(Rank, Duration),
    /// The times between consecutive events of a stream.
    TokenGaps(Rank, Vec<Duration>),
    /// An answer was completed.
    Finished(Box<FinishedRequest>),
    /// A request was refused.
    Refused(RefusalReason),
    /// The use of the client accounts that have limits, at this entry.
    AccountUse(Vec<AccountUse>),
    /// Another attempt at a request was sent.
    Retried,
    /// The time from noticing that a caller has disconnected until the deciding duty removed its request.
    CancelWait(Duration),
    /// The time from noticing that backend servers leave until they get no more requests.
    LeaveWait(Duration),
    /// The caller disconnected during this attempt.
    Cancelled(Attempt),
    /// This version of the configuration is now in force.
    Configured(ConfigVersion),
    /// This version of the configuration is invalid, and the last valid one stays in force.
    Rejected(ConfigVersion),
    /// The size of a heartbeat sent to a peer, in bytes.
    Gossip(usize),
    /// A request for the text of all metrics, which goes to the sender.
    Scrape(Sender<String>),
}
