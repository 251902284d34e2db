//! What the measuring duty is told.

use std::time::Duration;

use azureway_core::prelude::{Attempt, ConfigVersion, Rank, RefusalReason, TokenCount};
use flume::Sender;

/// What the measuring duty is told.
#[derive(Clone, Debug)]
pub enum Measure {
    /// The first token of an answer came after this time.
    Started(Rank, Duration),
    /// These times passed between events of a stream.
    Gaps(Rank, Vec<Duration>),
    /// An answer is complete: its prompt tokens, and those of them that were cached.
    Finished(Rank, TokenCount, TokenCount),
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
    /// Somebody asks for all measures.
    Scrape(Sender<String>),
}
