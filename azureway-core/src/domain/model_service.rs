//! A service that callers ask for by name.

use super::{PoolId, RequestKind, Rollout, ServiceId, ServiceKind, Timestamp, WeightsVersion};

/// A model service or a plain service, as the configuration gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelService {
    /// The name that callers use.
    pub id: ServiceId,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The weights version that answers must come from.
    pub weights: WeightsVersion,
    /// Whether its calls may run more than once.
    pub request_kind: RequestKind,
    /// How it is brought to newly named weights. Without one, answers come from exactly
    /// the weights above.
    pub rollout: Option<Rollout>,
    /// Whether its servers can fetch blocks from one another.
    pub peer_fetch: bool,
}

impl ModelService {
    /// Creates a model service on `pool` whose calls are repeatable.
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
        }
    }

    /// Sets what stands behind the service.
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

    /// Sets whether its calls may run more than once.
    #[must_use]
    pub fn with_request_kind(mut self, kind: RequestKind) -> Self {
        self.request_kind = kind;
        self
    }

    /// Sets how the service is brought to newly named weights.
    #[must_use]
    pub fn with_rollout(mut self, rollout: Rollout) -> Self {
        self.rollout = Some(rollout);
        self
    }

    /// Sets whether its servers can fetch blocks from one another.
    #[must_use]
    pub fn with_peer_fetch(mut self, enabled: bool) -> Self {
        self.peer_fetch = enabled;
        self
    }

    /// Tells whether a server with weights `loaded` may answer a request that wants `wanted`.
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
