//! A backend server.

use std::net::SocketAddr;

use super::{ListedState, PoolId, ServerId, TokenRate, ZoneId};

/// A backend server, as the configuration gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// The name.
    pub id: ServerId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The speed at which it computes prompt tokens that are not cached.
    pub prefill: TokenRate,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
    /// Whether it refuses a second call with the same idempotency key by itself, whichever
    /// server of its pool ran the first.
    pub deduplicates: bool,
    /// Whether operators take it out: it ends what it runs and gets no new work.
    pub leaving: bool,
    /// What the platform's list says of it, where it is listed there.
    pub listed: Option<ListedState>,
}

/// The slots of a server where the document names none.
const DEFAULT_SLOTS: u32 = 8;
/// The prefill rate, in tokens a second, where the document names none.
const DEFAULT_PREFILL: TokenRate = TokenRate::new(8_000);

impl BackendServer {
    /// Creates a server with default slots and prefill rate that checks nothing.
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
        }
    }

    /// Sets the requests that it runs at once.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the prefill rate.
    #[must_use]
    pub fn with_prefill(mut self, rate: TokenRate) -> Self {
        self.prefill = rate;
        self
    }
}
