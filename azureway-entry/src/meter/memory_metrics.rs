//! Metrics of the memory that is held for others and for the instance's own calls.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::memory::{CallMemory, MemoryAccount};

/// Metrics of the memory accounts, read at each scrape.
#[derive(Debug)]
pub struct MemoryMetrics {
    account: MemoryAccount,
    held: Gauge,
    closed: Counter,
    refused: Counter,
    calls: CallMemory,
    calls_held: Gauge,
    calls_refused: Counter,
}

impl MemoryMetrics {
    /// Creates the metrics of `account` and `calls` and registers them in `r`.
    pub fn new(r: &mut Registry, account: MemoryAccount, calls: CallMemory) -> Self {
        let (held, limit): (Gauge, Gauge) = Default::default();
        let (closed, refused): (Counter, Counter) = Default::default();
        limit.set(i64::try_from(account.limits().total).unwrap_or(i64::MAX));
        let help = "Bytes held for callers and backend servers";
        r.register("memory_held_bytes", help, held.clone());
        let help = "Bytes that may be held for callers and backend servers";
        r.register("memory_limit_bytes", help, limit);
        let help = "Callers that were closed because memory ran out and they read slowest";
        r.register("readers_closed", help, closed.clone());
        let help = "Requests and answers for which there was no memory";
        r.register("memory_refusals", help, refused.clone());
        let (calls_held, calls_limit): (Gauge, Gauge) = Default::default();
        let calls_refused = Counter::default();
        calls_limit.set(i64::try_from(calls.usage().0).unwrap_or(i64::MAX));
        let help = "Bytes held for the answers to the instance's own calls to backend servers";
        r.register("call_memory_held_bytes", help, calls_held.clone());
        let help = "Bytes that may be held for the answers to own calls";
        r.register("call_memory_limit_bytes", help, calls_limit);
        let help = "Answers to own calls for which there was no memory";
        r.register("call_memory_refusals", help, calls_refused.clone());
        Self {
            account,
            held,
            closed,
            refused,
            calls,
            calls_held,
            calls_refused,
        }
    }

    /// Reads the account.
    pub fn refresh(&self) {
        let (held, closed, refused) = self.account.usage();
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
        raise_to(&self.closed, closed);
        raise_to(&self.refused, refused);
        let (_, held, refused) = self.calls.usage();
        self.calls_held.set(i64::try_from(held).unwrap_or(i64::MAX));
        raise_to(&self.calls_refused, refused);
    }
}

fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
