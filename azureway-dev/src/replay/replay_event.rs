//! Something that happens in a replay.

use azureway_core::claim::ClaimOutcome;
use azureway_core::prelude::{
    Attempt, FailureKind, Finish, Incarnation, SendState, WeightsVersion,
};

use super::{News, Transit};

/// Something that happens in a replay. Engines are named by their place.
#[derive(Clone, Debug)]
pub enum ReplayEvent {
    /// A record of the trace is due.
    Record(usize),
    /// A request reaches an engine.
    Reach(Box<Transit>),
    /// A step of an engine's incarnation ends.
    Step(usize, Incarnation),
    /// The first token of a try reaches the entry.
    Started(Attempt),
    /// The last token of a try reaches the entry.
    Finished(Finish),
    /// The entry notices that a try failed.
    Failed(Attempt, FailureKind, SendState),
    /// An engine collects its news.
    Tell(usize),
    /// An engine is asked for the whole content of its cache.
    Content(usize),
    /// An engine's news reaches the entry.
    Hear(Box<News>),
    /// A call for a claim ends.
    Claim(ClaimOutcome),
    /// An engine comes back from a crash.
    Return(usize),
    /// An engine's incarnation has loaded weights.
    Loaded(usize, Incarnation, WeightsVersion),
    /// The entry asked to be told of the time.
    Wake,
}
