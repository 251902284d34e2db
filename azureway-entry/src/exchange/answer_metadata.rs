//! The content of a site's headers for an answer: signature, rejection, load, weights, and what the
//! server says of itself.

use azureway_core::prelude::{Pace, Pause, RequestRate, WeightsVersion};

/// The metadata of an answer, read from the site's own headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata<'a> {
    /// The caller's attempt ID that the answer names, if any.
    pub attempt_id: Option<&'a str>,
    /// Whether the answer carries the server's signature.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub rejected: bool,
    /// Whether the server or its weights differ from what the request expected.
    pub mismatch: bool,
    /// The number of requests running and queued at the server.
    pub load: Option<(u32, u32)>,
    /// How long work takes on the server's machine at this moment.
    pub pace: Option<Pace>,
    /// The version of the weights that the server answers with.
    pub weights: Option<WeightsVersion>,
    /// The rate of requests that the server takes from all senders.
    pub rate_limit: Option<RequestRate>,
    /// The pause that the server asks this entry for as it rejects the request.
    pub pause: Option<Pause>,
    /// Whether the server states that it is leaving.
    pub leaving: bool,
}
