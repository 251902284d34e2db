//! The connections to backend servers that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{AnswerHead, BackendConnection, IdleConnection};

/// The connections to backend servers that wait for their next request, the newest last.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    bound: usize,
}

/// How long a connection is kept where the server names no time: servers close idle ones.
const KEEP_TIME: Duration = Duration::from_secs(4);
/// How long before the server's own time a connection is no longer used, so that a request
/// does not cross the close.
const KEEP_MARGIN: Duration = Duration::from_millis(500);
/// The age up to which a request that may not run twice uses an idle connection: the older it
/// is, the likelier it has been lost, and then nobody can tell whether the request has run.
const FRESH_TIME: Duration = Duration::from_secs(1);

impl ConnectionPool {
    /// Creates a pool that keeps `bound` idle connections to a server at most.
    pub fn new(bound: usize) -> Self {
        Self {
            idle: Arc::default(),
            bound,
        }
    }

    /// Takes out a connection to a server. One for a request that runs `once` at most has been
    /// in use a moment ago.
    pub fn take(&self, address: SocketAddr, once: bool) -> Option<BackendConnection> {
        let now = Instant::now();
        loop {
            let idle = self.with(|all| all.get_mut(&address).and_then(Vec::pop))?;
            let fresh = !once || now.duration_since(idle.since) < FRESH_TIME;
            if now < idle.until && fresh && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection on which `head` was the last answer, if it can be used again.
    pub fn put(&self, address: SocketAddr, connection: BackendConnection, head: &AnswerHead) {
        if head.closes_connection() || !connection.is_reusable() {
            return;
        }
        let now = Instant::now();
        let kept = keep_alive(head).unwrap_or(KEEP_TIME);
        let Some(kept) = kept.checked_sub(KEEP_MARGIN).filter(|t| !t.is_zero()) else {
            return;
        };
        let idle = IdleConnection {
            connection,
            since: now,
            until: now + kept,
        };
        self.with(|all| {
            let list = all.entry(address).or_default();
            list.retain(|i| i.until > now);
            if list.len() < self.bound {
                list.push(idle);
            }
        });
    }

    /// Drops the idle connections to a server that was lost.
    pub fn purge(&self, address: SocketAddr) {
        self.with(|all| all.remove(&address));
    }

    fn with<T>(
        &self,
        change: impl FnOnce(&mut HashMap<SocketAddr, Vec<IdleConnection>>) -> T,
    ) -> T {
        // A thread that panicked while it held the lock left whole connections behind.
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut idle)
    }
}

/// Returns how long the server keeps an idle connection, where it says so.
fn keep_alive(head: &AnswerHead) -> Option<Duration> {
    let parts = head.get("keep-alive")?.split(',');
    let mut named = parts.filter_map(|p| p.trim().split_once('='));
    let (_, seconds) = named.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
