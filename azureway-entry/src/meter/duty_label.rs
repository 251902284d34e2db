//! Breakdown of processor time by duty.

use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyLabel {
    /// The name of the duty's threads.
    pub duty: &'static str,
}
