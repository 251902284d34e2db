//! The duty itself.

use azureway_objects::CallCounter;
use flume::{Receiver, WeakSender};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::{
    ConfigMetrics, ControlMetrics, MetricEvent, PromptMetrics, RingMonitor, RouterMetrics,
    ServiceMetrics,
};
use crate::decide::DecideMessage;

/// The measuring duty: keeps the measures and writes them out.
#[derive(Debug)]
pub struct MeterDuty {
    measures: Receiver<MetricEvent>,
    registry: Registry,
    service: ServiceMetrics,
    prompts: PromptMetrics,
    config: ConfigMetrics,
    control: ControlMetrics,
    router: RouterMetrics,
    decide: WeakSender<DecideMessage>,
}

impl MeterDuty {
    /// Creates the duty. `calls` counts the calls to the platform.
    pub fn new(measures: Receiver<MetricEvent>, rings: RingMonitor, calls: CallCounter) -> Self {
        let mut registry = Registry::with_prefix("azureway");
        Self {
            measures,
            service: ServiceMetrics::new(&mut registry),
            prompts: PromptMetrics::new(&mut registry),
            config: ConfigMetrics::new(&mut registry),
            router: RouterMetrics::new(&mut registry),
            decide: rings.decide.clone(),
            control: ControlMetrics::new(&mut registry, rings, calls),
            registry,
        }
    }

    /// Runs until every sender of measures is gone.
    pub fn run(mut self) {
        while let Ok(measure) = self.measures.recv() {
            self.take(measure);
        }
    }

    fn take(&mut self, measure: MetricEvent) {
        match measure {
            MetricEvent::RingWait(time) => self.control.cross(time),
            MetricEvent::Sent(rank, time) => self.service.send(rank, time),
            MetricEvent::FirstToken(rank, time) => self.service.start(rank, time),
            MetricEvent::TokenGaps(rank, gaps) => self.service.pace(rank, &gaps),
            MetricEvent::Finished(served) => {
                self.service.finish(&served);
                self.prompts.finish(&served);
            }
            MetricEvent::Refused(reason) => self.service.refuse(reason),
            MetricEvent::Gossip(bytes) => self.control.gossip(bytes),
            MetricEvent::Retried => self.control.retry(),
            MetricEvent::Cancelled(_) => self.service.cancel(),
            MetricEvent::Configured(version) => self.config.accept(version),
            MetricEvent::Rejected(version) => self.config.reject(version),
            MetricEvent::Scrape(reply) => {
                let _ = reply.try_send(self.text());
            }
        }
    }

    fn text(&self) -> String {
        self.control.refresh();
        self.router.refresh(&self.decide);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
