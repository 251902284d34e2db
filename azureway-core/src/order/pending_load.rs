//! The planner's record of a load, kept until its end is reported.

use crate::domain::{Timestamp, WeightsVersion};

/// A load that was ordered and whose end was not reported yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingLoad {
    /// The weights that the server loads.
    pub weights: WeightsVersion,
    /// Until when the load occupies one of its pool's load slots.
    pub slot_until: Timestamp,
    /// The time from which the load no longer counts as pending.
    pub expires: Timestamp,
    /// Whether the order failed or got no answer.
    pub failed: bool,
}
