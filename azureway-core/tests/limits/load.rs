//! The load of an account, drawn from a seed.

use azureway_core::prelude::Request;

use super::Group;

/// A linear congruential generator.
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number that is at least 0 and less than 1.
    pub(crate) fn unit(&mut self) -> f64 {
        let state = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = state.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }
}

/// The costs of requests and the share of each, in percent.
const COSTS: [(u64, usize); 4] = [(9_200, 40), (860, 34), (200, 25), (50_000, 1)];

/// Requests that arrive at random.
pub(crate) struct Load {
    pub(crate) draw: Draw,
    /// The demand, in units per second.
    pub(crate) rate: f64,
    /// The entries that get the requests.
    pub(crate) targets: Vec<usize>,
}

impl Load {
    pub(crate) fn new(seed: u64, rate: f64, entries: usize) -> Self {
        Self {
            draw: Draw::new(seed),
            rate,
            targets: (0..entries).collect(),
        }
    }

    /// Plays until `end`, in seconds since the start.
    pub(crate) fn play(&mut self, group: &mut Group, request: &mut Request, end: f64) {
        let mean: f64 = COSTS
            .iter()
            .map(|(c, p)| *c as f64 * *p as f64 / 100.0)
            .sum();
        while group.time() < end {
            let gap = -(1.0 - self.draw.unit()).ln() * mean / self.rate.max(1.0);
            let arrival = group.time() + gap;
            while group.time() + 0.05 < arrival.min(end) {
                group.advance(0.05);
            }
            group.advance((arrival.min(end) - group.time()).max(1e-6));
            if arrival < end {
                let cost = self.cost();
                let target = self.targets[self.draw.below(self.targets.len())];
                group.offer(request, target, cost);
            }
        }
    }

    fn cost(&mut self) -> u64 {
        let mut left = self.draw.below(100);
        for (cost, percent) in COSTS {
            if left < percent {
                return cost;
            }
            left -= percent;
        }
        COSTS[0].0
    }
}
