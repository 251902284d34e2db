//! The bound on the number of client accounts that metrics distinguish.

use std::collections::HashSet;

use azureway_core::prelude::AccountId;

use super::AccountLabel;

/// The maximum number of client accounts with a label of their own. Deployments are planned for 350
/// accounts.
pub const ACCOUNTS_MAX: usize = 400;

/// The client accounts with a label of their own: the first [`ACCOUNTS_MAX`] that were seen.
#[derive(Clone, Debug, Default)]
pub struct AccountLabels {
    seen: HashSet<AccountId>,
}

impl AccountLabels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the label of an account, which is `other` once the set is full.
    pub fn label(&mut self, id: &AccountId) -> AccountLabel {
        if !self.seen.contains(id) {
            if self.seen.len() >= ACCOUNTS_MAX {
                return AccountLabel::other();
            }
            self.seen.insert(id.clone());
        }
        id.into()
    }
}
