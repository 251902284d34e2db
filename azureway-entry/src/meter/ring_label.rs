//! The label of a ring.

use prometheus_client::encoding::EncodeLabelSet;

/// The label of a ring between two duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RingLabel {
    /// The duty that takes from the ring.
    pub ring: &'static str,
}
