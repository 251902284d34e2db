//! What a client account asks of an entry.

use crate::domain::{AccountId, Rank, TokenRate};

/// What a client account asks of one entry in one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountId,
    /// The rank.
    pub rank: Rank,
    /// The tokens a second that it asks for.
    pub rate: TokenRate,
}
