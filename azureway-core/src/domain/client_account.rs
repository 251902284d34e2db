//! The configured properties of a client account, such as its keys and rate limit.

use smallvec::SmallVec;

use super::{AccountId, AccountLimit, KeyHash, Rank};

/// A client account as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// The name of the account.
    pub id: AccountId,
    /// The digests of the account's API keys.
    pub keys: SmallVec<[KeyHash; 2]>,
    /// The weight of the account's share among the accounts of the same rank.
    pub weight: u32,
    /// The limit over all entries together, if there is one.
    pub limit: Option<AccountLimit>,
    /// Whether the account shares no cached block with another account.
    pub isolated: bool,
    /// The rank and the priority of the account's requests, which take precedence over those of
    /// a route.
    pub priority: Option<(Rank, u8)>,
}

impl ClientAccount {
    /// Creates an account without keys, with a weight of 1 and no limit.
    pub fn new(id: AccountId) -> Self {
        Self {
            id,
            keys: SmallVec::new(),
            weight: 1,
            limit: None,
            isolated: false,
            priority: None,
        }
    }

    /// Adds the digest of an API key.
    #[must_use]
    pub fn with_key(mut self, key: KeyHash) -> Self {
        self.keys.push(key);
        self
    }

    /// Sets the limit over all entries together.
    #[must_use]
    pub fn with_limit(mut self, limit: AccountLimit) -> Self {
        self.limit = Some(limit);
        self
    }

    /// Sets the weight, raised to at least 1.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// Returns whether `key` is the digest of one of the account's keys.
    pub fn has_key(&self, key: &KeyHash) -> bool {
        // Compares every stored digest, so that the time taken does not reveal which one matched.
        self.keys
            .iter()
            .fold(false, |seen, k| seen | k.matches(key))
    }
}
