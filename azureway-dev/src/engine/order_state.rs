//! The orders that an engine took.

use azureway_core::prelude::{FencingNumber, WeightsVersion};

/// The orders that an engine took, and the highest fencing number that it saw.
#[derive(Clone, Debug)]
pub struct OrderState {
    fenced: bool,
    highest: FencingNumber,
    previous: Option<WeightsVersion>,
    accepted: Vec<(WeightsVersion, FencingNumber)>,
}

impl OrderState {
    /// Creates an empty book of an engine that checks fencing numbers or not.
    pub const fn new(fenced: bool) -> Self {
        Self {
            fenced,
            highest: FencingNumber::ZERO,
            previous: None,
            accepted: Vec::new(),
        }
    }

    /// Takes an order in. Returns whether it may be followed.
    pub fn accept(&mut self, weights: WeightsVersion, number: FencingNumber) -> bool {
        if self.fenced && number < self.highest {
            return false;
        }
        self.highest = self.highest.max(number);
        self.accepted.push((weights, number));
        true
    }

    /// Returns the orders that were accepted, with their fencing numbers.
    pub fn accepted(&self) -> &[(WeightsVersion, FencingNumber)] {
        &self.accepted
    }

    /// Tells whether a load is running.
    pub const fn is_loading(&self) -> bool {
        self.previous.is_some()
    }

    /// Notes that a load begins, in place of `previous` weights.
    pub fn start_load(&mut self, previous: WeightsVersion) {
        self.previous = Some(previous);
    }

    /// Notes that the load ended.
    pub fn finish_load(&mut self) {
        self.previous = None;
    }

    /// Returns the weights after a crash: a load that was running is lost.
    pub fn abort_load(&mut self, weights: WeightsVersion) -> WeightsVersion {
        self.previous.take().unwrap_or(weights)
    }
}
