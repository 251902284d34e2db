//! The load of a backend server as it states it with its answers.

use crate::domain::{Pace, RequestRate, ServerId, WeightsVersion};

/// Load figures that a backend server attaches to an answer. Unlike reports, samples come only
/// with traffic, so the absence of one does not indicate a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The server that answered.
    pub server: ServerId,
    /// The numbers of running and queued requests, from all entries, if given.
    pub load: Option<(u32, u32)>,
    /// How long work takes on the server's machine, if given.
    pub pace: Option<Pace>,
    /// The weights version that computed the answer, if given.
    pub weights: Option<WeightsVersion>,
    /// The rate of requests that the server takes from all entries, if it names one.
    pub rate_limit: Option<RequestRate>,
}
