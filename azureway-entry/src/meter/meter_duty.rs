//! The measures and their duty.

use azureway_core::prelude::ConfigVersion;
use azureway_platform::CallCounter;
use flume::Receiver;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{Measure, RankLabel, ReasonLabel};

/// The measuring duty: keeps the measures and writes them out.
#[derive(Debug)]
pub struct Meter {
    measures: Receiver<Measure>,
    registry: Registry,
    first: Family<RankLabel, Histogram>,
    gaps: Family<RankLabel, Histogram>,
    finished: Family<RankLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    prompt: Counter,
    cached: Counter,
    retries: Counter,
    cancelled: Counter,
    version: Gauge,
    rejected: Gauge,
    platform: Counter,
    calls: CallCounter,
}

/// The upper bounds of the time to first token, in seconds; 1 s is the stated target.
const FIRST_TOKEN_BOUNDS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The upper bounds of the time between tokens, in seconds; 68 ms is the stated target.
const GAP_BOUNDS: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.15, 0.5, 2.0];

impl Meter {
    /// Creates the duty. `calls` counts the calls to the platform.
    pub fn new(measures: Receiver<Measure>, calls: CallCounter) -> Self {
        let bounds = || Histogram::new(FIRST_TOKEN_BOUNDS);
        let gaps = || Histogram::new(GAP_BOUNDS);
        let mut meter = Self {
            measures,
            registry: Registry::with_prefix("azureway"),
            first: Family::new_with_constructor(bounds),
            gaps: Family::new_with_constructor(gaps),
            finished: Family::default(),
            refused: Family::default(),
            prompt: Counter::default(),
            cached: Counter::default(),
            retries: Counter::default(),
            cancelled: Counter::default(),
            version: Gauge::default(),
            rejected: Gauge::default(),
            platform: Counter::default(),
            calls,
        };
        meter.register();
        meter
    }

    /// Runs until every sender of measures is gone.
    pub fn run(self) {
        while let Ok(measure) = self.measures.recv() {
            self.take(measure);
        }
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "time_to_first_token_seconds",
            "Time from arrival to the first token",
            self.first.clone(),
        );
        r.register(
            "time_between_tokens_seconds",
            "Time between two events of a stream",
            self.gaps.clone(),
        );
        r.register(
            "requests_finished",
            "Requests answered completely",
            self.finished.clone(),
        );
        r.register("requests_refused", "Requests refused", self.refused.clone());
        r.register(
            "prompt_tokens",
            "Tokens of all prompts",
            self.prompt.clone(),
        );
        r.register(
            "cached_tokens",
            "Prompt tokens found in a cache",
            self.cached.clone(),
        );
        r.register("retries", "Tries after the first", self.retries.clone());
        r.register(
            "cancelled",
            "Requests whose caller hung up",
            self.cancelled.clone(),
        );
        self.register_platform();
    }

    fn register_platform(&mut self) {
        let r = &mut self.registry;
        r.register(
            "platform_calls",
            "Calls to the platform, a waiting watch as one",
            self.platform.clone(),
        );
        r.register(
            "config_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        r.register(
            "config_rejected_version",
            "Newest version of the configuration, while it is a bad one; 0 otherwise",
            self.rejected.clone(),
        );
    }

    fn take(&self, measure: Measure) {
        match measure {
            Measure::Started(rank, time) => {
                self.first
                    .get_or_create(&rank.into())
                    .observe(time.as_secs_f64());
            }
            Measure::Gaps(rank, gaps) => {
                let histogram = self.gaps.get_or_create(&rank.into());
                gaps.iter().for_each(|g| histogram.observe(g.as_secs_f64()));
            }
            Measure::Finished(rank, prompt, cached) => {
                self.finished.get_or_create(&rank.into()).inc();
                self.prompt.inc_by(prompt.get());
                self.cached.inc_by(cached.get());
            }
            Measure::Refused(reason) => {
                self.refused.get_or_create(&reason.into()).inc();
            }
            Measure::Retried => {
                self.retries.inc();
            }
            Measure::Cancelled(_) => {
                self.cancelled.inc();
            }
            Measure::Configured(version) => {
                self.version.set(gauge(version));
                self.rejected.set(0);
            }
            Measure::Rejected(version) => {
                self.rejected.set(gauge(version));
            }
            Measure::Scrape(reply) => {
                self.platform.inc_by(self.calls.get() - self.platform.get());
                let mut text = String::new();
                // Writing to a string does not fail.
                let _ = encode(&mut text, &self.registry);
                let _ = reply.try_send(text);
            }
        }
    }
}

fn gauge(version: ConfigVersion) -> i64 {
    i64::try_from(version.get()).unwrap_or(i64::MAX)
}
