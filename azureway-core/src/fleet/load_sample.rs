//! What an answer says of its backend server.

use crate::domain::{ServerId, WeightsVersion};

/// What a backend server says of itself beside an answer. Unlike a report it comes only with
/// traffic, so that its absence says nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The server.
    pub server: ServerId,
    /// The requests that it runs and that wait in it, from all entries, where it tells them.
    pub load: Option<(u32, u32)>,
    /// The weights that it answered with, where it tells them.
    pub weights: Option<WeightsVersion>,
}
