//! Metrics of the service as callers see it.

use std::time::Duration;

use azureway_core::prelude::{AccountUse, Rank, RefusalReason};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{AccountLabel, AccountLabels, FinishedRequest, RankLabel, ReasonLabel};

/// A family of histograms, one for each rank.
type Histograms = Family<RankLabel, Histogram, fn() -> Histogram>;

/// Metrics of the service to callers: latency by rank, outcomes, refusals and account usage.
#[derive(Debug)]
pub struct ServiceMetrics {
    first_token: Histograms,
    token_time: Histograms,
    token_gaps: Histograms,
    queue_time: Histograms,
    finished: Family<RankLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    cancelled: Counter,
    requests: Family<AccountLabel, Counter>,
    tokens: Family<AccountLabel, Counter>,
    demand: Family<AccountLabel, Gauge>,
    used: Family<AccountLabel, Gauge>,
    accounts: AccountLabels,
}

/// The histogram bounds of the time to first token, in seconds. The service target is 1 s.
const TTFT_BOUNDS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// The histogram bounds of the time between tokens, in seconds. The service target is 68 ms.
const GAP_BOUNDS: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.25, 1.0];

impl ServiceMetrics {
    /// Creates the metrics and registers them in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let ttft = || Histogram::new(TTFT_BOUNDS);
        let metrics = Self {
            first_token: Family::new_with_constructor(ttft),
            token_time: Family::new_with_constructor(|| Histogram::new(GAP_BOUNDS)),
            token_gaps: Family::new_with_constructor(|| Histogram::new(GAP_BOUNDS)),
            queue_time: Family::new_with_constructor(ttft),
            finished: Family::default(),
            refused: Family::default(),
            cancelled: Counter::default(),
            requests: Family::default(),
            tokens: Family::default(),
            demand: Family::default(),
            used: Family::default(),
            accounts: AccountLabels::new(),
        };
        metrics.register(registry);
        metrics
    }

    fn register(&self, r: &mut Registry) {
        let help = "Time from arrival to the first token";
        r.register(
            "time_to_first_token_seconds",
            help,
            self.first_token.clone(),
        );
        let help = "Mean time between the tokens of an answer";
        r.register(
            "time_per_output_token_seconds",
            help,
            self.token_time.clone(),
        );
        let help = "Time between two tokens of a stream";
        r.register("time_between_tokens_seconds", help, self.token_gaps.clone());
        let help = "Time from arrival until the request was sent to a backend server";
        r.register("queue_time_seconds", help, self.queue_time.clone());
        let help = "Requests answered completely";
        r.register("requests_finished", help, self.finished.clone());
        r.register("requests_refused", "Requests refused", self.refused.clone());
        let help = "Requests whose caller hung up";
        r.register("requests_cancelled", help, self.cancelled.clone());
        let help = "Requests of a client account answered completely";
        r.register("account_requests", help, self.requests.clone());
        let help = "Tokens of prompts and answers of a client account";
        r.register("account_tokens", help, self.tokens.clone());
        let help = "What a limited client account asks for here, per second";
        r.register("account_limit_demand", help, self.demand.clone());
        let help = "What a limited client account is charged here, per second";
        r.register("account_limit_used", help, self.used.clone());
    }

    /// Observes the time to first token of a request.
    pub fn observe_first_token(&self, rank: Rank, time: Duration) {
        let histogram = self.first_token.get_or_create(&rank.into());
        histogram.observe(time.as_secs_f64());
    }

    /// Observes the time from a request's arrival until it was sent to a backend server.
    pub fn observe_queue_time(&self, rank: Rank, time: Duration) {
        let histogram = self.queue_time.get_or_create(&rank.into());
        histogram.observe(time.as_secs_f64());
    }

    /// Observes the times between tokens of a stream.
    pub fn observe_token_gaps(&self, rank: Rank, gaps: &[Duration]) {
        let histogram = self.token_gaps.get_or_create(&rank.into());
        gaps.iter().for_each(|g| histogram.observe(g.as_secs_f64()));
    }

    /// Records a request that was answered completely.
    pub fn record_finished(&mut self, request: &FinishedRequest) {
        let rank = RankLabel::from(request.rank);
        self.finished.get_or_create(&rank).inc();
        if let Some(gap) = request.time_per_token() {
            self.token_time.get_or_create(&rank).observe(gap);
        }
        let account = self.accounts.label(&request.account);
        self.requests.get_or_create(&account).inc();
        let tokens = (request.prompt + request.output).get();
        self.tokens.get_or_create(&account).inc_by(tokens);
    }

    /// Sets the use of the client accounts that have limits.
    pub fn set_account_use(&mut self, accounts: &[AccountUse]) {
        // The cast saturates.
        let gauge = |rate: u64| (rate as f64 / AccountUse::SCALE) as i64;
        for account in accounts {
            let label = self.accounts.label(&account.account);
            let demand = gauge(account.demand.get());
            self.demand.get_or_create(&label).set(demand);
            self.used
                .get_or_create(&label)
                .set(gauge(account.used.get()));
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refused.get_or_create(&reason.into()).inc();
    }

    /// Counts a request whose caller disconnected.
    pub fn count_cancelled(&self) {
        self.cancelled.inc();
    }
}
