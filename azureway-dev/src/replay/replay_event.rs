//! The events that the replay schedules in virtual time.

use azureway_core::claim::ClaimOutcome;
use azureway_core::prelude::{
    Attempt, FailureKind, Finish, Incarnation, SendState, WeightsVersion,
};

use super::{EngineUpdate, Transit};

/// An event of a replay. Engines are identified by their index.
#[derive(Clone, Debug)]
pub enum ReplayEvent {
    /// The record with this index is due.
    Record(usize),
    /// A request arrives at an engine.
    Delivered(Box<Transit>),
    /// A step of an incarnation of an engine ends.
    StepEnded(usize, Incarnation),
    /// The first token of an attempt arrives at the entry.
    FirstToken(Attempt),
    /// The last token of an attempt arrives at the entry.
    AttemptFinished(Finish),
    /// The entry notices the failure of an attempt.
    AttemptFailed(Attempt, FailureKind, SendState),
    /// An engine sends its periodic update.
    SendUpdate(usize),
    /// A request for a snapshot of the cache arrives at an engine.
    SendSnapshot(usize),
    /// An update of an engine arrives at the entry.
    UpdateReceived(Box<EngineUpdate>),
    /// A claim call to the platform ends.
    ClaimAnswered(ClaimOutcome),
    /// An engine restarts after a crash.
    EngineRestarted(usize),
    /// An incarnation of an engine has loaded a weights version.
    WeightsLoaded(usize, Incarnation, WeightsVersion),
    /// The wakeup that the core asked for is due.
    Wakeup,
}
