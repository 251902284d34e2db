//! Something that happens in a replay.

use azureway_core::claim::ClaimOutcome;
use azureway_core::prelude::{
    Attempt, FailureKind, Finish, Incarnation, SendState, WeightsVersion,
};

use super::{EngineUpdate, Transit};

/// Something that happens in a replay. Engines are named by their place.
#[derive(Clone, Debug)]
pub enum ReplayEvent {
    /// A record of the trace is due.
    Record(usize),
    /// A request reaches an engine.
    Delivered(Box<Transit>),
    /// A step of an engine's incarnation ends.
    StepEnded(usize, Incarnation),
    /// The first token of a try reaches the entry.
    FirstToken(Attempt),
    /// The last token of a try reaches the entry.
    AttemptFinished(Finish),
    /// The entry notices that a try failed.
    AttemptFailed(Attempt, FailureKind, SendState),
    /// An engine collects its news.
    SendUpdate(usize),
    /// An engine is asked for the whole content of its cache.
    SendSnapshot(usize),
    /// An engine's news reaches the entry.
    UpdateReceived(Box<EngineUpdate>),
    /// A call for a claim ends.
    ClaimAnswered(ClaimOutcome),
    /// An engine comes back from a crash.
    EngineRestarted(usize),
    /// An engine's incarnation has loaded weights.
    WeightsLoaded(usize, Incarnation, WeightsVersion),
    /// The entry asked to be told of the time.
    Wakeup,
}
