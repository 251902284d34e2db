//! The label of the metric that counts calls to the platform.

use prometheus_client::encoding::EncodeLabelSet;

/// The label of a kind of call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// The name of the kind of call.
    pub call: &'static str,
}
