//! One order at an engine.

use azureway_core::prelude::{FencingNumber, WeightsVersion};
use azureway_wire::order::OrderBody;
use tiny_http::Request;

use super::Engine;
use crate::http::Reply;

/// One order at an engine: answers at once, then loads.
#[derive(Debug)]
pub struct LoadRun<'a> {
    engine: &'a Engine,
}

impl<'a> LoadRun<'a> {
    /// Creates the run of an order.
    pub const fn new(engine: &'a Engine) -> Self {
        Self { engine }
    }

    /// Reads the order, answers and loads what it asks for.
    pub fn run(&self, mut request: Request) {
        let Ok(order) = serde_json::from_reader::<_, OrderBody>(request.as_reader()) else {
            return Reply::text(request, 400, "the body is no order");
        };
        let weights = WeightsVersion::new(order.weights);
        let number = FencingNumber::new(order.fencing);
        if !self.engine.change(|s| s.orders.take(weights, number)) {
            return Reply::text(
                request,
                409,
                "an order with a higher fencing number came before",
            );
        }
        let begins = self.engine.change(|s| {
            let begins = s.weights != weights && !s.orders.is_loading();
            if begins {
                s.unload();
            }
            begins
        });
        Reply::text(request, 202, "taken");
        if begins {
            self.load(weights);
        }
    }

    fn load(&self, weights: WeightsVersion) {
        let life = self.engine.incarnation();
        let time = self.engine.config().load;
        self.engine.wait(time, |s| s.incarnation == life);
        self.engine.change(|s| {
            if s.incarnation == life {
                s.load(weights);
            }
        });
    }
}
