//! What the decisions say of themselves.

use std::time::Duration;

use azureway_core::prelude::{Overview, Rank};
use flume::WeakSender;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::{OutcomeLabel, RankLabel};
use crate::decide::{DecideMessage, Query};

/// What the decisions say of themselves: service by kind and worth, queues and the budget.
#[derive(Debug)]
pub struct RouterMetrics {
    requests: Family<OutcomeLabel, Counter>,
    worth: Family<OutcomeLabel, Counter>,
    queued: Family<RankLabel, Gauge>,
    flights: Gauge,
    budget: Gauge,
    claims: Gauge,
    quarantined: Gauge,
    entries: Gauge,
}

/// How long the deciding duty may take to answer a scrape.
const LIMIT: Duration = Duration::from_secs(1);

impl RouterMetrics {
    /// Creates the measures and registers them.
    pub fn new(r: &mut Registry) -> Self {
        let measures = Self {
            requests: Family::default(),
            worth: Family::default(),
            queued: Family::default(),
            flights: Gauge::default(),
            budget: Gauge::default(),
            claims: Gauge::default(),
            quarantined: Gauge::default(),
            entries: Gauge::default(),
        };
        let help = "Every request once, by how it ended";
        r.register("requests", help, measures.requests.clone());
        let help = "Worth of the requests, by how they ended";
        r.register("worth", help, measures.worth.clone());
        let help = "Requests that wait for a backend server";
        r.register("queue_depth", help, measures.queued.clone());
        let help = "Requests in flight";
        r.register("requests_in_flight", help, measures.flights.clone());
        let help = "Retries that are left in the budget";
        r.register("retry_budget", help, measures.budget.clone());
        let help = "Claims that are asked for, held or being settled";
        r.register("claims_open", help, measures.claims.clone());
        let help = "Requests that do not run, since two backend servers broke under them";
        r.register("requests_quarantined", help, measures.quarantined.clone());
        let help = "Entry instances that share the zone's servers, with this one";
        r.register("zone_entries", help, measures.entries.clone());
        measures
    }

    /// Asks the deciding duty for its state. One that does not answer leaves the last one.
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
        // The deciding duty never waits for this one, so the two cannot wait for each other.
        if let Ok(standing) = answer.recv_timeout(LIMIT) {
            self.show(&standing.overview);
        }
    }

    fn show(&self, overview: &Overview) {
        for (rank, kind, outcome, count) in &overview.counts {
            let label = OutcomeLabel::new(*rank, *kind, *outcome);
            raise(&self.requests, &label, count.requests);
            raise(&self.worth, &label, count.worth);
        }
        for rank in Rank::ALL {
            let queued = self.queued.get_or_create(&rank.into());
            set(&queued, overview.queued[rank.index()]);
        }
        set(&self.flights, overview.in_flight);
        set(&self.budget, overview.retry_budget);
        set(&self.claims, overview.claims);
        set(&self.quarantined, overview.quarantined);
        set(&self.entries, overview.entries);
    }
}

fn raise(family: &Family<OutcomeLabel, Counter>, label: &OutcomeLabel, total: u64) {
    let counter = family.get_or_create(label);
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn set(gauge: &Gauge, number: impl TryInto<i64>) {
    gauge.set(number.try_into().unwrap_or(i64::MAX));
}
