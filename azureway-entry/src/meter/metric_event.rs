//! What the measuring duty is told.

use std::time::Duration;

use azureway_core::prelude::{Attempt, ConfigVersion, Rank, RefusalReason};
use flume::Sender;

use super::FinishedRequest;

/// What the measuring duty is told.
#[derive(Clone, Debug)]
pub enum MetricEvent {
    /// A request took this time through the rings to its decision.
    RingWait(Duration),
    /// A request was sent to a backend server for the first time, this time after its arrival.
    Sent(Rank, Duration),
    /// The first token of an answer came after this time.
    FirstToken(Rank, Duration),
    /// These times passed between events of a stream.
    TokenGaps(Rank, Vec<Duration>),
    /// An answer is complete.
    Finished(Box<FinishedRequest>),
    /// A request was refused.
    Refused(RefusalReason),
    /// A request was tried again.
    Retried,
    /// The caller of a try hung up.
    Cancelled(Attempt),
    /// A configuration is in force.
    Configured(ConfigVersion),
    /// A version of the configuration is bad, and the last good one stays in force.
    Rejected(ConfigVersion),
    /// A heartbeat of this many bytes was sent to a peer.
    Gossip(usize),
    /// Somebody asks for all measures.
    Scrape(Sender<String>),
}
