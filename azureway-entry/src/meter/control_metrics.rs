//! Metrics of what the router itself costs, as opposed to the service to callers.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use azureway_objects::{CallCounter, CallKind};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::{CallLabel, DutyCpu, DutyLabel, RingLabel, RingMonitor};

/// Metrics of the control plane: platform calls, retries, gossip, rings and processor time.
#[derive(Debug)]
pub struct ControlMetrics {
    retries: Counter,
    platform_calls: Family<CallLabel, Counter>,
    platform_restores: Counter,
    gossip_bytes: Counter,
    ring_waits: Histogram,
    cancel_waits: Histogram,
    leave_waits: Histogram,
    ring_depths: Family<RingLabel, Gauge>,
    duty_cpu: Family<DutyLabel, Counter<f64, AtomicU64>>,
    rings: RingMonitor,
    calls: CallCounter,
}

/// The histogram bounds of the times for which decisions wait, in seconds.
const WAIT_BOUNDS: [f64; 8] = [0.000_1, 0.000_5, 0.001, 0.005, 0.025, 0.1, 0.5, 1.0];

impl ControlMetrics {
    /// Creates the metrics and registers them in `r`. `calls` counts the calls to the platform.
    pub fn new(r: &mut Registry, rings: RingMonitor, calls: CallCounter) -> Self {
        let metrics = Self {
            retries: Counter::default(),
            platform_calls: Family::default(),
            platform_restores: Counter::default(),
            gossip_bytes: Counter::default(),
            ring_waits: Histogram::new(WAIT_BOUNDS),
            cancel_waits: Histogram::new(WAIT_BOUNDS),
            leave_waits: Histogram::new(WAIT_BOUNDS),
            ring_depths: Family::default(),
            duty_cpu: Family::default(),
            rings,
            calls,
        };
        r.register("retries", "Tries after the first", metrics.retries.clone());
        let help = "Calls to the platform, a waiting watch as one";
        r.register("platform_calls", help, metrics.platform_calls.clone());
        let (help, restores) = (
            "Restores of the platform from a copy",
            &metrics.platform_restores,
        );
        r.register("platform_restores", help, restores.clone());
        let help = "Bytes of the heartbeats sent to peers";
        r.register("gossip_bytes", help, metrics.gossip_bytes.clone());
        let help = "Time from the arrival of a request until it was decided on";
        r.register("ring_wait_seconds", help, metrics.ring_waits.clone());
        let help = "Time from noticing that a caller disconnected until its request was removed";
        r.register("cancel_wait_seconds", help, metrics.cancel_waits.clone());
        let help = "Time from noticing that backend servers leave until they get no more requests";
        r.register("leave_wait_seconds", help, metrics.leave_waits.clone());
        let help = "Messages that wait in a ring";
        r.register("ring_depth", help, metrics.ring_depths.clone());
        let help = "Processor time of a duty's threads";
        r.register("duty_cpu_seconds", help, metrics.duty_cpu.clone());
        metrics
    }

    /// Adds the size of a sent heartbeat, in bytes.
    pub fn add_gossip(&self, bytes: usize) {
        self.gossip_bytes.inc_by(bytes as u64);
    }

    /// Counts an attempt after the first.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Observes the time from a request's arrival to its decision.
    pub fn observe_ring_wait(&self, time: Duration) {
        self.ring_waits.observe(time.as_secs_f64());
    }

    /// Observes the time from noticing that a caller disconnected until its request was removed.
    pub fn observe_cancel_wait(&self, time: Duration) {
        self.cancel_waits.observe(time.as_secs_f64());
    }

    /// Observes the time from noticing that backend servers leave until they get no more requests.
    pub fn observe_leave_wait(&self, time: Duration) {
        self.leave_waits.observe(time.as_secs_f64());
    }

    /// Updates the metrics that are counted elsewhere, before a scrape is answered.
    pub fn refresh(&self) {
        for kind in CallKind::ALL {
            let label = CallLabel {
                call: kind.as_str(),
            };
            let counter = self.platform_calls.get_or_create(&label);
            counter.inc_by(self.calls.get(kind) - counter.get());
        }
        self.platform_restores
            .inc_by(self.calls.restores() - self.platform_restores.get());
        for (ring, depth) in self.rings.depths() {
            let gauge = self.ring_depths.get_or_create(&RingLabel { ring });
            gauge.set(i64::try_from(depth).unwrap_or(i64::MAX));
        }
        for (duty, time) in DutyCpu::read() {
            let counter = self.duty_cpu.get_or_create(&DutyLabel { duty });
            counter.inc_by((time - counter.get()).max(0.0));
        }
    }
}
