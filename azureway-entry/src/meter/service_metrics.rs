//! How requests fared.

use std::time::Duration;

use azureway_core::prelude::{Rank, RefusalReason};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{AccountLabel, AccountLabels, FinishedRequest, RankLabel, ReasonLabel};

/// A family of histograms by rank.
type Histograms = Family<RankLabel, Histogram, fn() -> Histogram>;

/// How requests fared: latency by rank, ends, refusals and client accounts.
#[derive(Debug)]
pub struct ServiceMetrics {
    first: Histograms,
    gaps: Histograms,
    between: Histograms,
    queued: Histograms,
    finished: Family<RankLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    cancelled: Counter,
    requests: Family<AccountLabel, Counter>,
    tokens: Family<AccountLabel, Counter>,
    accounts: AccountLabels,
}

/// The upper bounds of the time to first token, in seconds; 1 s is the stated target.
const FIRST_BOUNDS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// The upper bounds of the time between tokens, in seconds; 68 ms is the stated target.
const GAP_BOUNDS: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.25, 1.0];

impl ServiceMetrics {
    /// Creates the measures and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let first = || Histogram::new(FIRST_BOUNDS);
        let measures = Self {
            first: Family::new_with_constructor(first),
            gaps: Family::new_with_constructor(|| Histogram::new(GAP_BOUNDS)),
            between: Family::new_with_constructor(|| Histogram::new(GAP_BOUNDS)),
            queued: Family::new_with_constructor(first),
            finished: Family::default(),
            refused: Family::default(),
            cancelled: Counter::default(),
            requests: Family::default(),
            tokens: Family::default(),
            accounts: AccountLabels::new(),
        };
        measures.register(registry);
        measures
    }

    fn register(&self, r: &mut Registry) {
        let help = "Time from arrival to the first token";
        r.register("time_to_first_token_seconds", help, self.first.clone());
        let help = "Mean time between the tokens of an answer";
        r.register("time_per_output_token_seconds", help, self.gaps.clone());
        let help = "Time between two tokens of a stream";
        r.register("time_between_tokens_seconds", help, self.between.clone());
        let help = "Time from arrival until the request was sent to a backend server";
        r.register("queue_time_seconds", help, self.queued.clone());
        let help = "Requests answered completely";
        r.register("requests_finished", help, self.finished.clone());
        r.register("requests_refused", "Requests refused", self.refused.clone());
        let help = "Requests whose caller hung up";
        r.register("requests_cancelled", help, self.cancelled.clone());
        let help = "Requests of a client account answered completely";
        r.register("account_requests", help, self.requests.clone());
        let help = "Tokens of prompts and answers of a client account";
        r.register("account_tokens", help, self.tokens.clone());
    }

    /// Notes the time to first token of a request.
    pub fn start(&self, rank: Rank, time: Duration) {
        let first = self.first.get_or_create(&rank.into());
        first.observe(time.as_secs_f64());
    }

    /// Notes the time that a request waited for a backend server.
    pub fn send(&self, rank: Rank, time: Duration) {
        let queued = self.queued.get_or_create(&rank.into());
        queued.observe(time.as_secs_f64());
    }

    /// Notes the times between tokens of a stream.
    pub fn pace(&self, rank: Rank, gaps: &[Duration]) {
        let between = self.between.get_or_create(&rank.into());
        gaps.iter().for_each(|g| between.observe(g.as_secs_f64()));
    }

    /// Notes a request that was answered completely.
    pub fn finish(&mut self, served: &FinishedRequest) {
        let rank = RankLabel::from(served.rank);
        self.finished.get_or_create(&rank).inc();
        if let Some(gap) = served.gap() {
            self.gaps.get_or_create(&rank).observe(gap);
        }
        let account = self.accounts.label(&served.account);
        self.requests.get_or_create(&account).inc();
        let tokens = (served.prompt + served.output).get();
        self.tokens.get_or_create(&account).inc_by(tokens);
    }

    /// Notes a refusal.
    pub fn refuse(&self, reason: RefusalReason) {
        self.refused.get_or_create(&reason.into()).inc();
    }

    /// Notes that a caller hung up.
    pub fn cancel(&self) {
        self.cancelled.inc();
    }
}
