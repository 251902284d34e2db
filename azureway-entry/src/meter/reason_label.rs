//! Breakdown of refusals by reason.

use azureway_core::prelude::RefusalReason;
use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The stable code of the refusal's reason.
    pub reason: &'static str,
}

impl From<RefusalReason> for ReasonLabel {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason: reason.code(),
        }
    }
}
