//! The output of `account list` for one client account.

use std::fmt;

use azureway_core::prelude::ClientAccount;
use serde::Serialize;

/// The settings of a client account in the document, with the number of its API keys.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AccountReport {
    name: Box<str>,
    team: Box<str>,
    weight: u32,
    limit: u64,
    keys: usize,
}

impl AccountReport {
    pub(crate) fn new(account: &ClientAccount, team: &str) -> Self {
        Self {
            name: account.id.as_str().into(),
            team: team.into(),
            weight: account.weight,
            limit: account.limit.map_or(0, |l| l.rate),
            keys: account.keys.len(),
        }
    }
}

impl fmt::Display for AccountReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}  team {}  weight {}  limit {} tokens/s  {} keys",
            self.name, self.team, self.weight, self.limit, self.keys
        )
    }
}
