//! The planner's methods that handle what servers answer to orders and tell of them.

use super::{
    HeldServer, LoadOrder, LoadProgress, OrderAnswer, OrderPlanner, OrderStatus, RETRY_DELAY,
};
use crate::domain::{ServerId, Timestamp};

impl OrderPlanner {
    /// Records the answer to an order.
    pub fn record_answer(&mut self, order: &LoadOrder, answer: OrderAnswer, now: Timestamp) {
        let server = &order.server;
        if !self.is_current(order) {
            return;
        }
        match answer {
            OrderAnswer::Taken => {
                self.unanswered.remove(server);
                self.counts.set(server, order.accepted + 1);
                self.extend_load(server, now);
            }
            // The server is asked for its state, which tells whether it loads these weights.
            OrderAnswer::Held | OrderAnswer::Conflict => {
                self.unanswered.mark(server);
                if let Some(load) = self.loads.get_mut(server) {
                    load.expires = now + RETRY_DELAY;
                }
            }
            OrderAnswer::Fenced | OrderAnswer::Failed => {
                self.unanswered.remove(server);
                self.record_failure(server, now);
            }
            OrderAnswer::Unanswered => self.record_unanswered(server, now),
        }
    }

    /// Returns the number of orders in a row to which a server gave no answer.
    pub fn unanswered(&self, server: &ServerId) -> u32 {
        self.unanswered.count(server)
    }

    /// Returns whether a server gave no answer to several orders in a row.
    pub fn is_silent(&self, server: &ServerId) -> bool {
        self.unanswered.is_silent(server)
    }

    /// Returns whether an order is the last one to its server, in the server's present incarnation.
    fn is_current(&self, order: &LoadOrder) -> bool {
        let load = self.loads.get(&order.server);
        let incarnation = self.counts.incarnation(&order.server);
        incarnation == order.incarnation && load.is_some_and(|l| l.weights == order.weights)
    }

    /// Withdraws an order that was not sent, if newer weights were named after it was planned. Returns
    /// whether it was withdrawn. The server is then planned for anew.
    pub fn withdraw_outdated(&mut self, order: &LoadOrder) -> bool {
        let outdated = order.config < self.version() && !self.is_required(order);
        if outdated && self.is_current(order) {
            self.end_load(&order.server);
        }
        outdated
    }

    /// Records that an order failed. Its load slot becomes free, and the order is sent again after
    /// a delay, and after the server's pause, unless the server reports the weights.
    pub fn record_failure(&mut self, server: &ServerId, now: Timestamp) {
        self.fail_load(server, now, now + RETRY_DELAY);
    }

    /// Records that an order got no answer. It is repeated soon: the server carries out only one of
    /// the two, since both name the same number of accepted orders.
    fn record_unanswered(&mut self, server: &ServerId, now: Timestamp) {
        let delay = self.unanswered.record(server);
        self.fail_load(server, now, now + delay);
    }

    fn fail_load(&mut self, server: &ServerId, now: Timestamp, expires: Timestamp) {
        if let Some(load) = self.loads.get_mut(server) {
            load.slot_until = now;
            load.expires = expires;
            load.failed = true;
            self.changed = true;
            if let Some(held) = self.held.get_mut(server) {
                held.ordered = true;
            }
        }
    }

    /// Records what a server that was ordered to load weights tells of its orders. Returns how far the
    /// load has come.
    pub fn record_status(
        &mut self,
        order: &LoadOrder,
        status: &OrderStatus,
        now: Timestamp,
    ) -> LoadProgress {
        let server = &order.server;
        if !self.is_current(order) {
            return LoadProgress::Outdated;
        }
        if status.busy {
            self.extend_load(server, now);
            return LoadProgress::Loading;
        }
        if status.weights < order.weights && status.accepted < self.counts.get(server) {
            // The state is from before the order.
            return LoadProgress::Loading;
        }
        self.counts.set(server, status.accepted);
        self.reported.insert(server.clone(), status.weights);
        if status.weights >= order.weights {
            self.end_load(server);
            return LoadProgress::Loaded;
        }
        self.loads.remove(server);
        self.changed = true;
        LoadProgress::Idle
    }

    /// Lets the load of a server count as pending from now on.
    fn extend_load(&mut self, server: &ServerId, now: Timestamp) {
        if let Some(load) = self.loads.get_mut(server) {
            load.slot_until = now + self.config.slot_timeout;
            load.expires = now + self.config.load_timeout;
        }
    }

    /// Records that a server asked this entry for a pause that ends at `until`. A time that has
    /// passed ends the pause.
    pub fn hold(&mut self, server: &ServerId, until: Timestamp, now: Timestamp) {
        self.held.retain(|_, held| held.until > now);
        self.changed = true;
        if until <= now {
            self.held.remove(server);
            return;
        }
        let ordered = self.loads.get(server).is_some_and(|l| l.failed);
        let new = HeldServer { until, ordered };
        self.held.entry(server.clone()).or_insert(new).until = until;
    }
}
