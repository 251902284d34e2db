//! A client account.

use smallvec::SmallVec;

use super::{AccountId, KeyHash, Rank, TokenRate};

/// A client account, as the configuration gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// The name.
    pub id: AccountId,
    /// The digests of its API keys.
    pub keys: SmallVec<[KeyHash; 2]>,
    /// Its share beside other accounts of the same rank.
    pub weight: u32,
    /// The tokens a second that it may ask for over all entries.
    pub limit: TokenRate,
    /// Whether it shares no cached block with another account.
    pub isolated: bool,
    /// The rank and the priority of its requests, which go before those of a route.
    pub priority: Option<(Rank, u8)>,
}

/// The limit of an account, in tokens a second, where the document names none.
const DEFAULT_LIMIT: TokenRate = TokenRate::new(1_000_000);

impl ClientAccount {
    /// Creates an account with a weight of 1 and the default limit.
    pub fn new(id: AccountId) -> Self {
        Self {
            id,
            keys: SmallVec::new(),
            weight: 1,
            limit: DEFAULT_LIMIT,
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

    /// Sets the limit in tokens a second.
    #[must_use]
    pub fn with_limit(mut self, limit: TokenRate) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the weight.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// Tells whether `key` is the digest of one of the account's keys.
    pub fn has_key(&self, key: &KeyHash) -> bool {
        // Every stored digest is compared, so that the time does not tell which one matched.
        self.keys
            .iter()
            .fold(false, |seen, k| seen | k.matches(key))
    }
}
