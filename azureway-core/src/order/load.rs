//! A load that was ordered.

use crate::domain::{Timestamp, WeightsVersion};

/// A load that was ordered and whose end was not heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The weights that the server loads.
    pub weights: WeightsVersion,
    /// When the server counts as able to load again, so that another one may begin.
    pub busy: Timestamp,
    /// When it no longer counts as running.
    pub until: Timestamp,
}
