//! A service that callers request by name.

use super::{
    CacheStore, PoolId, RequestKind, Rollout, ServiceId, ServiceKind, Timestamp, WeightsVersion,
};

/// A model service or a plain service as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelService {
    /// The name by which callers request the service.
    pub id: ServiceId,
    /// Whether a language model or a plain service answers.
    pub kind: ServiceKind,
    /// The pool of backend servers that serve it.
    pub pool: PoolId,
    /// The weights version that answers must come from.
    pub weights: WeightsVersion,
    /// Whether its requests may run more than once.
    pub request_kind: RequestKind,
    /// The rollout to newly named weights. Without one, answers come from exactly the version
    /// in `weights`.
    pub rollout: Option<Rollout>,
    /// Whether its servers can fetch cached blocks from one another.
    pub peer_fetch: bool,
    /// The number of polls of its feed that a server holds at once, if it is bounded.
    pub feed_limit: Option<u32>,
    /// The stores in which its servers keep cached blocks.
    pub stores: Vec<CacheStore>,
}

impl ModelService {
    /// Creates a model service on `pool` whose requests are repeatable.
    pub fn new(id: ServiceId, pool: PoolId) -> Self {
        let weights = WeightsVersion::new(1);
        Self {
            id,
            kind: ServiceKind::Model,
            pool,
            weights,
            request_kind: RequestKind::Repeatable,
            rollout: None,
            peer_fetch: false,
            feed_limit: None,
            stores: Vec::new(),
        }
    }

    /// Sets whether a language model or a plain service answers.
    #[must_use]
    pub fn with_kind(mut self, kind: ServiceKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the weights version.
    #[must_use]
    pub fn with_weights(mut self, weights: WeightsVersion) -> Self {
        self.weights = weights;
        self
    }

    /// Sets whether its requests may run more than once.
    #[must_use]
    pub fn with_request_kind(mut self, kind: RequestKind) -> Self {
        self.request_kind = kind;
        self
    }

    /// Sets the rollout to newly named weights.
    #[must_use]
    pub fn with_rollout(mut self, rollout: Rollout) -> Self {
        self.rollout = Some(rollout);
        self
    }

    /// Sets whether its servers can fetch cached blocks from one another.
    #[must_use]
    pub fn with_peer_fetch(mut self, enabled: bool) -> Self {
        self.peer_fetch = enabled;
        self
    }

    /// Sets the number of polls of its feed that a server holds at once.
    #[must_use]
    pub fn with_feed_limit(mut self, limit: Option<u32>) -> Self {
        self.feed_limit = limit;
        self
    }

    /// Sets the stores in which its servers keep cached blocks.
    #[must_use]
    pub fn with_stores(mut self, stores: Vec<CacheStore>) -> Self {
        self.stores = stores;
        self
    }

    /// Returns the time at which requests may no longer begin on weights `loaded`, if there is one.
    pub fn start_limit(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        let rollout = self.rollout.as_ref();
        rollout.and_then(|r| r.start_limit(loaded))
    }

    /// Returns whether a server that has loaded version `loaded` may answer a request for version
    /// `wanted` at `now`. A plain service has no weights and accepts any version.
    pub fn accepts_weights(
        &self,
        loaded: WeightsVersion,
        wanted: WeightsVersion,
        now: Timestamp,
    ) -> bool {
        match &self.rollout {
            _ if self.kind == ServiceKind::Plain => true,
            None => loaded == wanted,
            Some(rollout) => rollout.allows(loaded, now),
        }
    }
}
