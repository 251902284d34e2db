//! The duty itself.

use azureway_objects::CallCounter;
use flume::{Receiver, WeakSender};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::{
    ConfigMeasures, ControlMeasures, Measure, PromptMeasures, RingViews, RouterMeasures,
    ServiceMeasures,
};
use crate::decide::DecideMessage;

/// The measuring duty: keeps the measures and writes them out.
#[derive(Debug)]
pub struct Meter {
    measures: Receiver<Measure>,
    registry: Registry,
    service: ServiceMeasures,
    prompts: PromptMeasures,
    config: ConfigMeasures,
    control: ControlMeasures,
    router: RouterMeasures,
    decide: WeakSender<DecideMessage>,
}

impl Meter {
    /// Creates the duty. `calls` counts the calls to the platform.
    pub fn new(measures: Receiver<Measure>, rings: RingViews, calls: CallCounter) -> Self {
        let mut registry = Registry::with_prefix("azureway");
        Self {
            measures,
            service: ServiceMeasures::new(&mut registry),
            prompts: PromptMeasures::new(&mut registry),
            config: ConfigMeasures::new(&mut registry),
            router: RouterMeasures::new(&mut registry),
            decide: rings.decide.clone(),
            control: ControlMeasures::new(&mut registry, rings, calls),
            registry,
        }
    }

    /// Runs until every sender of measures is gone.
    pub fn run(mut self) {
        while let Ok(measure) = self.measures.recv() {
            self.take(measure);
        }
    }

    fn take(&mut self, measure: Measure) {
        match measure {
            Measure::Crossed(time) => self.control.cross(time),
            Measure::Sent(rank, time) => self.service.send(rank, time),
            Measure::Started(rank, time) => self.service.start(rank, time),
            Measure::Gaps(rank, gaps) => self.service.pace(rank, &gaps),
            Measure::Finished(served) => {
                self.service.finish(&served);
                self.prompts.finish(&served);
            }
            Measure::Refused(reason) => self.service.refuse(reason),
            Measure::Gossip(bytes) => self.control.gossip(bytes),
            Measure::Retried => self.control.retry(),
            Measure::Cancelled(_) => self.service.cancel(),
            Measure::Configured(version) => self.config.accept(version),
            Measure::Rejected(version) => self.config.reject(version),
            Measure::Scrape(reply) => {
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
