//! The configured properties of a backend server, such as its address and capacity.

use std::net::SocketAddr;

use super::{EngineCapacity, ListedState, PoolId, ServerId, TokenRate, ZoneId};

/// A backend server as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// The name of the server.
    pub id: ServerId,
    /// The pool that the server belongs to.
    pub pool: PoolId,
    /// The availability zone that the server runs in.
    pub zone: ZoneId,
    /// The address that the server accepts requests on.
    pub address: SocketAddr,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The rate at which the server computes prompt tokens that are not cached.
    pub prefill: TokenRate,
    /// Whether the server refuses an order with an old fencing number.
    pub fenced: bool,
    /// Whether the server itself refuses a second call with the same idempotency key, whichever
    /// server of its pool ran the first.
    pub deduplicates: bool,
    /// Whether operators drain the server: it finishes its running requests and gets no new ones.
    pub leaving: bool,
    /// The state of the server in the platform's list, if it is listed there.
    pub listed: Option<ListedState>,
    /// The memory and the link of the server, if the configuration states them.
    pub capacity: Option<EngineCapacity>,
}

/// The number of slots of a server if the document sets none.
const DEFAULT_SLOTS: u32 = 8;
/// The prefill rate of a server, in tokens per second, if the document sets none.
const DEFAULT_PREFILL: TokenRate = TokenRate::new(8_000);

impl BackendServer {
    /// Creates a server with the default slots and prefill rate that checks neither fencing
    /// numbers nor idempotency keys.
    pub fn new(id: ServerId, pool: PoolId, zone: ZoneId, address: SocketAddr) -> Self {
        let (slots, prefill) = (DEFAULT_SLOTS, DEFAULT_PREFILL);
        Self {
            id,
            pool,
            zone,
            address,
            slots,
            prefill,
            fenced: false,
            deduplicates: false,
            leaving: false,
            listed: None,
            capacity: None,
        }
    }

    /// Sets the number of requests that the server runs at once.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the memory and the link of the server.
    #[must_use]
    pub fn with_capacity(mut self, capacity: Option<EngineCapacity>) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the prefill rate.
    #[must_use]
    pub fn with_prefill(mut self, rate: TokenRate) -> Self {
        self.prefill = rate;
        self
    }
}
