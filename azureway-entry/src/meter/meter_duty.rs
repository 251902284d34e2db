//! The duty that owns the metrics.

use azureway_objects::CallCounter;
use flume::{Receiver, WeakSender};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::{
    ConfigMetrics, ControlMetrics, MemoryMetrics, MetricEvent, PromptMetrics, RingMonitor,
    RouterMetrics, ServiceMetrics,
};
use crate::decide::DecideMessage;
use crate::memory::{CallMemory, MemoryAccount};

/// The measuring duty: updates the metrics and encodes them for scrapes.
#[derive(Debug)]
pub struct MeterDuty {
    events: Receiver<MetricEvent>,
    registry: Registry,
    service: ServiceMetrics,
    prompts: PromptMetrics,
    config: ConfigMetrics,
    control: ControlMetrics,
    router: RouterMetrics,
    memory: Option<MemoryMetrics>,
    decide: WeakSender<DecideMessage>,
}

impl MeterDuty {
    /// Creates the duty. `calls` counts the calls to the platform.
    pub fn new(events: Receiver<MetricEvent>, rings: RingMonitor, calls: CallCounter) -> Self {
        let mut registry = Registry::with_prefix("azureway");
        Self {
            events,
            service: ServiceMetrics::new(&mut registry),
            prompts: PromptMetrics::new(&mut registry),
            config: ConfigMetrics::new(&mut registry),
            router: RouterMetrics::new(&mut registry),
            decide: rings.decide.clone(),
            control: ControlMetrics::new(&mut registry, rings, calls),
            memory: None,
            registry,
        }
    }

    /// Adds the metrics of the memory that is held for others and for the instance's own calls.
    #[must_use]
    pub fn with_memory(mut self, account: MemoryAccount, calls: CallMemory) -> Self {
        self.memory = Some(MemoryMetrics::new(&mut self.registry, account, calls));
        self
    }

    /// Runs until every sender of metric events is dropped.
    pub fn run(mut self) {
        while let Ok(event) = self.events.recv() {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: MetricEvent) {
        match event {
            MetricEvent::RingWait(time) => self.control.observe_ring_wait(time),
            MetricEvent::CancelWait(time) => self.control.observe_cancel_wait(time),
            MetricEvent::LeaveWait(time) => self.control.observe_leave_wait(time),
            MetricEvent::Sent(rank, time) => self.service.observe_queue_time(rank, time),
            MetricEvent::FirstToken(rank, time) => self.service.observe_first_token(rank, time),
            MetricEvent::TokenGaps(rank, gaps) => self.service.observe_token_gaps(rank, &gaps),
            MetricEvent::Finished(request) => {
                self.service.record_finished(&request);
                self.prompts.record_finished(&request);
            }
            MetricEvent::AccountUse(accounts) => self.service.set_account_use(&accounts),
            MetricEvent::Refused(reason) => self.service.count_refusal(reason),
            MetricEvent::Gossip(bytes) => self.control.add_gossip(bytes),
            MetricEvent::Retried => self.control.count_retry(),
            MetricEvent::Cancelled(_) => self.service.count_cancelled(),
            MetricEvent::Configured(version) => self.config.set_accepted(version),
            MetricEvent::Rejected(version) => self.config.set_rejected(version),
            MetricEvent::Scrape(reply) => {
                let _ = reply.try_send(self.encode());
            }
        }
    }

    fn encode(&self) -> String {
        self.control.refresh();
        self.memory.iter().for_each(MemoryMetrics::refresh);
        self.router.refresh(&self.decide);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
