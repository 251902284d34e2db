//! The ordering duty's methods that handle the results of its calls to servers.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;

use super::{OrderLink, OrderReply, Orderer};

impl<A: ObjectApi, L: OrderLink> Orderer<A, L> {
    pub(super) fn handle_reply(&mut self, reply: OrderReply) {
        match reply {
            OrderReply::Ordered(order, answer) => self.handle_answer(order, answer),
            OrderReply::Checked(order, Some(status)) => self.handle_status(&order, &status),
            OrderReply::Checked(_, None) => {}
        }
    }

    fn handle_answer(&mut self, order: LoadOrder, answer: OrderAnswer) {
        let now = self.clock.now();
        log::info!(
            step = "order", peer:% = order.server, weights:% = order.weights, accepted = order.accepted,
            repeated = order.repeated, answer:? = answer; "an order was answered"
        );
        self.planner.record_answer(&order, answer, now);
        match answer {
            OrderAnswer::Taken => {
                if order.repeated {
                    self.notify_peers(&order, self.load_time);
                }
                self.checks.push(order, now);
            }
            OrderAnswer::Held | OrderAnswer::Conflict => self.checks.push_due(order, now),
            OrderAnswer::Failed => self.withdraw(&order),
            // The answer to the order's repetition is awaited once before others use the server again.
            OrderAnswer::Unanswered if order.repeated => self.withdraw(&order),
            OrderAnswer::Unanswered => {}
            OrderAnswer::Fenced => {
                self.withdraw(&order);
                self.lease.step_down(now);
                self.renew_lease();
            }
        }
    }

    fn handle_status(&mut self, order: &LoadOrder, status: &OrderStatus) {
        let progress = self.planner.record_status(order, status, self.clock.now());
        match progress {
            LoadProgress::Loading => return,
            LoadProgress::Loaded => {
                log::info!(step = "order", peer:% = order.server, weights:% = status.weights; "loaded");
                self.notify_peers(order, Duration::ZERO);
            }
            LoadProgress::Idle => {
                log::warn!(
                    step = "order", peer:% = order.server, weights:% = status.weights,
                    wanted:% = order.weights, accepted = status.accepted; "the server does not load"
                );
                self.withdraw(order);
            }
        }
        self.checks.remove(order);
    }
}
