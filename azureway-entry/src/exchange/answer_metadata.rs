//! What an answer says beside its body.

use azureway_core::prelude::WeightsVersion;

/// What an answer says beside its body, read from a site's own headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata<'a> {
    /// The caller's attempt that the answer is for, where it names one.
    pub attempt_id: Option<&'a str>,
    /// Whether the server vouches for the body.
    pub signed: bool,
    /// Whether the server says that it did not run the request.
    pub rejected: bool,
    /// Whether the server is another one, or has other weights, than was expected.
    pub mismatch: bool,
    /// The requests that the server runs and that wait in it.
    pub load: Option<(u32, u32)>,
    /// The weights that the server answers with.
    pub weights: Option<WeightsVersion>,
}
