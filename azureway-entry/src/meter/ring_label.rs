//! Breakdown of queue depths by ring.

use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of a ring between two duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RingLabel {
    /// The duty that receives from the ring.
    pub ring: &'static str,
}
