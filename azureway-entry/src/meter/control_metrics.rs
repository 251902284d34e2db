//! What control costs.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use azureway_objects::CallCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{DutyCpu, DutyLabel, RingLabel, RingMonitor};

/// What control costs: calls, retries, rings and the processor time of each duty.
#[derive(Debug)]
pub struct ControlMetrics {
    retries: Counter,
    platform: Counter,
    gossip: Counter,
    waits: Histogram,
    depths: Family<RingLabel, Gauge>,
    duties: Family<DutyLabel, Counter<f64, AtomicU64>>,
    rings: RingMonitor,
    calls: CallCounter,
}

/// The upper bounds of the time in the rings before a decision, in seconds.
const WAIT_BOUNDS: [f64; 7] = [0.000_1, 0.000_5, 0.001, 0.005, 0.025, 0.1, 1.0];

impl ControlMetrics {
    /// Creates the measures and registers them. `calls` counts the calls to the platform.
    pub fn new(r: &mut Registry, rings: RingMonitor, calls: CallCounter) -> Self {
        let measures = Self {
            retries: Counter::default(),
            platform: Counter::default(),
            gossip: Counter::default(),
            waits: Histogram::new(WAIT_BOUNDS),
            depths: Family::default(),
            duties: Family::default(),
            rings,
            calls,
        };
        r.register("retries", "Tries after the first", measures.retries.clone());
        let help = "Calls to the platform, a waiting watch as one";
        r.register("platform_calls", help, measures.platform.clone());
        let help = "Bytes of the heartbeats sent to peers";
        r.register("gossip_bytes", help, measures.gossip.clone());
        let help = "Time from the arrival of a request until it was decided on";
        r.register("ring_wait_seconds", help, measures.waits.clone());
        let help = "Messages that wait in a ring";
        r.register("ring_depth", help, measures.depths.clone());
        let help = "Processor time of a duty's threads";
        r.register("duty_cpu_seconds", help, measures.duties.clone());
        measures
    }

    /// Notes a heartbeat of this many bytes.
    pub fn gossip(&self, bytes: usize) {
        self.gossip.inc_by(bytes as u64);
    }

    /// Notes a try after the first.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Notes the time that a request took through the rings.
    pub fn cross(&self, time: Duration) {
        self.waits.observe(time.as_secs_f64());
    }

    /// Takes over what is counted elsewhere, before all measures are written out.
    pub fn refresh(&self) {
        self.platform.inc_by(self.calls.get() - self.platform.get());
        for (ring, depth) in self.rings.depths() {
            let gauge = self.depths.get_or_create(&RingLabel { ring });
            gauge.set(i64::try_from(depth).unwrap_or(i64::MAX));
        }
        for (duty, time) in DutyCpu::read() {
            let counter = self.duties.get_or_create(&DutyLabel { duty });
            counter.inc_by((time - counter.get()).max(0.0));
        }
    }
}
