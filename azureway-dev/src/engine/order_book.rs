//! The orders that an engine took.

use azureway_core::prelude::{FencingNumber, WeightsVersion};

/// The orders that an engine took, and the highest fencing number that it saw.
#[derive(Clone, Debug)]
pub struct OrderBook {
    fenced: bool,
    highest: FencingNumber,
    old: Option<WeightsVersion>,
    taken: Vec<(WeightsVersion, FencingNumber)>,
}

impl OrderBook {
    /// Creates an empty book of an engine that checks fencing numbers or not.
    pub const fn new(fenced: bool) -> Self {
        Self {
            fenced,
            highest: FencingNumber::ZERO,
            old: None,
            taken: Vec::new(),
        }
    }

    /// Takes an order in. Returns whether it may be followed.
    pub fn take(&mut self, weights: WeightsVersion, number: FencingNumber) -> bool {
        if self.fenced && number < self.highest {
            return false;
        }
        self.highest = self.highest.max(number);
        self.taken.push((weights, number));
        true
    }

    /// Returns the orders that were taken, with their fencing numbers.
    pub fn taken(&self) -> &[(WeightsVersion, FencingNumber)] {
        &self.taken
    }

    /// Tells whether a load is running.
    pub const fn is_loading(&self) -> bool {
        self.old.is_some()
    }

    /// Notes that a load begins, in place of `old` weights.
    pub fn begin(&mut self, old: WeightsVersion) {
        self.old = Some(old);
    }

    /// Notes that the load ended.
    pub fn end(&mut self) {
        self.old = None;
    }

    /// Returns the weights after a crash: a load that was running is lost.
    pub fn had(&mut self, weights: WeightsVersion) -> WeightsVersion {
        self.old.take().unwrap_or(weights)
    }
}
