//! What a client account was charged for one request.

use crate::domain::AccountId;

/// The charge of a request that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    /// The client account.
    pub account: AccountId,
    /// The charge, in the unit of the account's limit.
    pub cost: f64,
    /// Whether an attempt may have run, so that the charge is not given back.
    pub kept: bool,
}

impl Charge {
    /// Creates the charge of a request that has not run.
    pub const fn new(account: AccountId, cost: f64) -> Self {
        Self {
            account,
            cost,
            kept: false,
        }
    }
}
