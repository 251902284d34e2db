//! The state of an engine's orders.

use azureway_core::prelude::{FencingNumber, WeightsVersion};

/// The orders that an engine accepted, and the highest fencing number among them.
#[derive(Clone, Debug)]
pub struct OrderState {
    fenced: bool,
    highest: FencingNumber,
    /// The weights before the load that is running.
    previous: Option<WeightsVersion>,
    accepted: Vec<(WeightsVersion, FencingNumber)>,
}

impl OrderState {
    /// Creates the state before any order. If `fenced`, outdated fencing numbers are refused.
    pub const fn new(fenced: bool) -> Self {
        Self {
            fenced,
            highest: FencingNumber::ZERO,
            previous: None,
            accepted: Vec::new(),
        }
    }

    /// Records an order. Returns `false` if it is refused because its fencing number is outdated.
    pub fn accept(&mut self, weights: WeightsVersion, number: FencingNumber) -> bool {
        if self.fenced && number < self.highest {
            return false;
        }
        self.highest = self.highest.max(number);
        self.accepted.push((weights, number));
        true
    }

    /// Returns the weights and fencing numbers of the accepted orders, oldest first.
    pub fn accepted(&self) -> &[(WeightsVersion, FencingNumber)] {
        &self.accepted
    }

    /// Returns whether a load is running.
    pub const fn is_loading(&self) -> bool {
        self.previous.is_some()
    }

    /// Records the start of a load that replaces the `previous` weights.
    pub fn start_load(&mut self, previous: WeightsVersion) {
        self.previous = Some(previous);
    }

    /// Records the end of the load.
    pub fn finish_load(&mut self) {
        self.previous = None;
    }

    /// Returns the weights after a crash: those before the load if one was running, otherwise
    /// `weights`.
    pub fn abort_load(&mut self, weights: WeightsVersion) -> WeightsVersion {
        self.previous.take().unwrap_or(weights)
    }
}
