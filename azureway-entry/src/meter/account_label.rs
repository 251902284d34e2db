//! Breakdown of usage metrics by client account.

use azureway_core::prelude::AccountId;
use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabel {
    /// The ID of the account, or `other`.
    pub account: String,
}

impl AccountLabel {
    /// Creates the label that all accounts beyond the limit share.
    pub fn other() -> Self {
        let account = "other".to_owned();
        Self { account }
    }
}

impl From<&AccountId> for AccountLabel {
    fn from(id: &AccountId) -> Self {
        let account = id.as_str().to_owned();
        Self { account }
    }
}
