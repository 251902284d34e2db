//! The reasons for which attempts are recalled.

use crate::domain::WeightsVersion;

/// The reason for which an attempt is recalled, which determines until when it can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecallCause {
    /// The server has these weights, which may soon no longer answer. The attempt is recalled unless
    /// the first part of its answer was received.
    Outdated(WeightsVersion),
    /// A part of the request's prompt is quarantined. The attempt is recalled unless its server has
    /// sent the head of an answer: it works on the request and has not crashed.
    Quarantined,
}
