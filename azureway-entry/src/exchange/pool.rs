//! Reuse of connections to backend servers between requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{AnswerHead, BackendConnection, IdleConnection};

/// A pool of idle connections to backend servers. The most recently used one is taken first.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    max_idle: usize,
}

/// The time for which an idle connection is kept if the server states no keep-alive time: servers
/// close idle connections.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// The time before the end of the server's keep-alive time from which a connection is no longer
/// used, so that a request does not race with the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// The longest idle time of a connection for a request that may run only once. The longer a
/// connection is idle, the likelier it is broken, and then whether the request ran is unknown.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(1);

impl ConnectionPool {
    /// Creates a pool that keeps at most `max_idle` idle connections to each server.
    pub fn new(max_idle: usize) -> Self {
        Self {
            idle: Arc::default(),
            max_idle,
        }
    }

    /// Removes and returns a usable connection to a server, if there is one. With `once`, for a
    /// request that may run only once, it returns a connection that was idle for less than
    /// `MAX_IDLE_ONCE`.
    pub fn take(&self, address: SocketAddr, once: bool) -> Option<BackendConnection> {
        let now = Instant::now();
        loop {
            let idle = self.with_idle(|all| all.get_mut(&address).and_then(Vec::pop))?;
            let fresh = !once || now.duration_since(idle.idle_since) < MAX_IDLE_ONCE;
            if now < idle.expires && fresh && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
    }

    /// Stores a connection if it can be reused. `head` is the last response head received on it.
    pub fn put(&self, address: SocketAddr, connection: BackendConnection, head: &AnswerHead) {
        if head.closes_connection() || !connection.is_reusable() {
            return;
        }
        let now = Instant::now();
        let lifetime = keep_alive(head).unwrap_or(DEFAULT_KEEP_ALIVE);
        let Some(lifetime) = lifetime
            .checked_sub(KEEP_ALIVE_MARGIN)
            .filter(|t| !t.is_zero())
        else {
            return;
        };
        let idle = IdleConnection {
            connection,
            idle_since: now,
            expires: now + lifetime,
        };
        self.with_idle(|all| {
            let list = all.entry(address).or_default();
            list.retain(|i| i.expires > now);
            if list.len() < self.max_idle {
                list.push(idle);
            }
        });
    }

    /// Drops all idle connections to a server.
    pub fn purge(&self, address: SocketAddr) {
        self.with_idle(|all| all.remove(&address));
    }

    fn with_idle<T>(
        &self,
        change: impl FnOnce(&mut HashMap<SocketAddr, Vec<IdleConnection>>) -> T,
    ) -> T {
        // The map is consistent even if a thread panicked while it held the lock.
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut idle)
    }
}

/// Returns the time for which the server keeps an idle connection, if the answer states it.
fn keep_alive(head: &AnswerHead) -> Option<Duration> {
    let parts = head.get("keep-alive")?.split(',');
    let mut parameters = parts.filter_map(|p| p.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
