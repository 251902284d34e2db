//! Metrics of the router's state, queried from the deciding duty at each scrape.

use std::time::Duration;

use azureway_core::prelude::{Overview, Rank};
use flume::WeakSender;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::{OutcomeLabel, RankLabel};
use crate::decide::{DecideMessage, Query};

/// Metrics of the router: outcomes by rank and kind, queue depths, claims and the retry budget.
#[derive(Debug)]
pub struct RouterMetrics {
    requests: Family<OutcomeLabel, Counter>,
    worth: Family<OutcomeLabel, Counter>,
    queued: Family<RankLabel, Gauge>,
    in_flight: Gauge,
    retry_budget: Gauge,
    claims: Gauge,
    quarantined: Gauge,
    pauses: Counter,
    paused: Gauge,
    entries: Gauge,
    announced: Counter,
    index_memory: Gauge,
}

/// The time that a scrape waits for the deciding duty's state before it uses the last values.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

impl RouterMetrics {
    /// Creates the metrics and registers them in `r`.
    pub fn new(r: &mut Registry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            worth: Family::default(),
            queued: Family::default(),
            in_flight: Gauge::default(),
            retry_budget: Gauge::default(),
            claims: Gauge::default(),
            quarantined: Gauge::default(),
            pauses: Counter::default(),
            paused: Gauge::default(),
            entries: Gauge::default(),
            announced: Counter::default(),
            index_memory: Gauge::default(),
        };
        let help = "Every request once, by how it ended";
        r.register("requests", help, metrics.requests.clone());
        let help = "Worth of the requests, by how they ended";
        r.register("worth", help, metrics.worth.clone());
        let help = "Requests that wait for a backend server";
        r.register("queue_depth", help, metrics.queued.clone());
        let help = "Requests in flight";
        r.register("requests_in_flight", help, metrics.in_flight.clone());
        let help = "Retries that are left in the budget";
        r.register("retry_budget", help, metrics.retry_budget.clone());
        let help = "Claims that are asked for, held or being settled";
        r.register("claims_open", help, metrics.claims.clone());
        let help = "Requests that do not run, since two backend servers broke under them";
        r.register("requests_quarantined", help, metrics.quarantined.clone());
        let help = "Holds on backend servers that asked for a pause";
        r.register("server_pauses", help, metrics.pauses.clone());
        let help = "Backend servers that are held now, since they asked for a pause";
        r.register("servers_paused", help, metrics.paused.clone());
        let help = "Entry instances that share the zone's servers, with this one";
        r.register("zone_entries", help, metrics.entries.clone());
        let help = "Incarnations of backend servers that have announced their leaving";
        r.register("servers_leaving", help, metrics.announced.clone());
        let help = "Bytes of the index of cached blocks, at most";
        r.register("cache_index_bytes", help, metrics.index_memory.clone());
        metrics
    }

    /// Queries the deciding duty for its state. Without a reply the metrics keep their last values.
    pub fn refresh(&self, decide: &WeakSender<DecideMessage>) {
        let (reply, answer) = flume::bounded(1);
        let Some(decide) = decide.upgrade() else {
            return;
        };
        if decide
            .try_send(DecideMessage::Query(Query::Status(reply)))
            .is_err()
        {
            return;
        }
        // The deciding duty never waits for this one, so they cannot deadlock.
        if let Ok(status) = answer.recv_timeout(REPLY_TIMEOUT) {
            self.apply(&status.overview);
        }
    }

    fn apply(&self, overview: &Overview) {
        for (rank, kind, outcome, count) in &overview.counts {
            let label = OutcomeLabel::new(*rank, *kind, *outcome);
            raise_to(&self.requests.get_or_create(&label), count.requests);
            raise_to(&self.worth.get_or_create(&label), count.worth);
        }
        for rank in Rank::ALL {
            let queued = self.queued.get_or_create(&rank.into());
            set_gauge(&queued, overview.queued[rank.index()]);
        }
        set_gauge(&self.in_flight, overview.in_flight);
        set_gauge(&self.retry_budget, overview.retry_budget);
        set_gauge(&self.claims, overview.claims);
        set_gauge(&self.quarantined, overview.quarantined);
        raise_to(&self.pauses, overview.pauses);
        set_gauge(&self.paused, overview.paused);
        set_gauge(&self.entries, overview.entries);
        raise_to(&self.announced, overview.announced);
        set_gauge(&self.index_memory, overview.index_memory);
    }
}

fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn set_gauge(gauge: &Gauge, number: impl TryInto<i64>) {
    gauge.set(number.try_into().unwrap_or(i64::MAX));
}
