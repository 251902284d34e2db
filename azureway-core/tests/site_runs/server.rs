//! The fake backend server of the site runs, with its registration and its prefix cache.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;

use crate::store::SERVICE;

/// The key under which a server caches prompts: the salt and the weights version of the attempt.
type CacheKey = (u128, u64);

/// The time between two updates of a server's registration in the store.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A fake of a backend server with its prefix cache.
#[derive(Debug)]
pub struct Server {
    pub id: ServerId,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub weights: WeightsVersion,
    pub leaving: bool,
    /// The time when it next updates its registration in the store.
    pub next_heartbeat: Timestamp,
    /// The time when it is up again after a crash; `None` while it is up.
    pub down_until: Option<Timestamp>,
    /// For each cache key and prompt: the account that the prompt was cached for, and the weights.
    pub cached: BTreeMap<(CacheKey, usize), (usize, WeightsVersion)>,
}

impl Server {
    /// Creates a server with port 9000 + `index`.
    pub fn new(name: &str, index: usize, incarnation: u64, weights: WeightsVersion) -> Self {
        let port = 9_000 + u16::try_from(index).expect("a port");
        Self {
            id: ServerId::new(name),
            address: ([127, 0, 0, 1], port).into(),
            incarnation,
            weights,
            leaving: false,
            next_heartbeat: Timestamp::ZERO,
            down_until: None,
            cached: BTreeMap::new(),
        }
    }

    /// Returns the server as the platform lists it.
    pub fn listed(&self) -> ListedServer {
        ListedServer {
            id: self.id.clone(),
            service: ServiceId::new(SERVICE),
            address: self.address,
            zone: ZoneId::new("a"),
            slots: 4,
            leaving: self.leaving,
            incarnation: Incarnation::new(self.incarnation),
            weights: Some(self.weights),
        }
    }
}

/// Returns the cache key that an attempt carries to its server.
pub fn cache_key(dispatch: &Dispatch) -> CacheKey {
    (dispatch.salt.number(), dispatch.weights.get())
}
