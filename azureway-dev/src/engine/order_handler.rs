//! Carries out one order to load weights in the simulated engine.

use azureway_core::prelude::{FencingNumber, WeightsVersion};
use azureway_wire::order::OrderBody;
use tiny_http::Request;

use super::Engine;
use crate::http::Reply;

/// Processes one order to load weights: answers at once, then loads.
#[derive(Debug)]
pub struct OrderHandler<'a> {
    engine: &'a Engine,
}

impl<'a> OrderHandler<'a> {
    /// Creates the handler of an order.
    pub const fn new(engine: &'a Engine) -> Self {
        Self { engine }
    }

    /// Reads and answers the order, then loads its weights unless they are loaded or another load
    /// is running.
    pub fn run(&self, mut request: Request) {
        let Ok(order) = serde_json::from_reader::<_, OrderBody>(request.as_reader()) else {
            return Reply::text(request, 400, "the body is not a load order");
        };
        let weights = WeightsVersion::new(order.weights);
        let number = FencingNumber::new(order.fencing);
        if !self.engine.update(|s| s.orders.accept(weights, number)) {
            return Reply::text(
                request,
                409,
                "an order with a higher fencing number was received before",
            );
        }
        let starts = self.engine.update(|s| {
            let starts = s.weights != weights && !s.orders.is_loading();
            if starts {
                s.start_load();
            }
            starts
        });
        Reply::text(request, 202, "taken");
        if starts {
            self.load(weights);
        }
    }

    fn load(&self, weights: WeightsVersion) {
        let incarnation = self.engine.incarnation();
        let time = self.engine.config().load_time;
        self.engine
            .wait_timeout(time, |s| s.incarnation == incarnation);
        self.engine.update(|s| {
            if s.incarnation == incarnation {
                s.finish_load(weights);
            }
        });
    }
}
