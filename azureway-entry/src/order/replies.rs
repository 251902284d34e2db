//! The ordering duty's methods that handle the results of its calls to servers.

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;

use super::{OrderLink, OrderReply, Orderer};

/// The number of unanswered orders in a row after which peers use the server again.
const WITHDRAWN_AFTER: u32 = 2;

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
                    self.notify_peers(&order, order.weights, self.load_time);
                }
                self.checks.push(order, now);
            }
            OrderAnswer::Held | OrderAnswer::Conflict => self.checks.push_due(order, now),
            OrderAnswer::Failed => self.withdraw(&order),
            OrderAnswer::Unanswered => self.handle_silence(order, now),
            OrderAnswer::Fenced => {
                self.withdraw(&order);
                self.lease.step_down(now);
                self.renew_lease();
            }
        }
    }

    /// Handles an order that got no answer. The answer to its repetition is awaited once before peers use the
    /// server again. A server that stays silent is asked for its state, since its answers may only be late.
    fn handle_silence(&mut self, order: LoadOrder, now: Timestamp) {
        if self.planner.unanswered(&order.server) == WITHDRAWN_AFTER {
            self.withdraw(&order);
        }
        if self.planner.is_silent(&order.server) {
            self.checks.push_due(order, now);
        }
    }

    fn handle_status(&mut self, order: &LoadOrder, status: &OrderStatus) {
        let now = self.clock.now();
        match self.planner.record_status(order, status, now) {
            LoadProgress::Loading => {
                if status.busy {
                    self.checks.extend(order, now);
                }
                return;
            }
            LoadProgress::Outdated => {}
            LoadProgress::Loaded => {
                self.report_loaded(order, status.weights);
            }
            LoadProgress::Idle => {
                log::warn!(
                    step = "order", peer:% = order.server, weights:% = status.weights,
                    wanted:% = order.weights, accepted = status.accepted; "the server does not load"
                );
            }
        }
        self.checks.remove(order);
    }
}
