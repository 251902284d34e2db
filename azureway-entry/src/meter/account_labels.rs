//! Which client accounts have a label of their own.

use std::collections::HashSet;

use azureway_core::prelude::AccountId;

use super::AccountLabel;

/// The client accounts that have a label of their own at most; 350 are planned.
pub const ACCOUNTS_MAX: usize = 400;

/// Which client accounts have a label of their own: the first ones that were seen.
#[derive(Clone, Debug, Default)]
pub struct AccountLabels {
    seen: HashSet<AccountId>,
}

impl AccountLabels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the label of an account.
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
