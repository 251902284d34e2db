//! The use of one client account, as entry instances report it to each other.

use crate::domain::{AccountId, TokenRate};

/// The demand and the use of a client account over one or more entry instances.
///
/// The rates are in thousandths of the unit of the account's limit, per second, so that a few requests
/// over many entries are not rounded to none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountUse {
    /// The client account.
    pub account: AccountId,
    /// What the account asked for, refused requests included.
    pub demand: TokenRate,
    /// What the account was charged.
    pub used: TokenRate,
}

impl AccountUse {
    /// The multiple of a rate that is reported.
    pub const SCALE: f64 = 1_000.0;

    /// Creates the report of an account.
    pub const fn new(account: AccountId, demand: TokenRate, used: TokenRate) -> Self {
        Self {
            account,
            demand,
            used,
        }
    }
}
