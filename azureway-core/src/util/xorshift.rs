//! Numbers drawn from a seed.

/// Numbers drawn from a seed with a xorshift generator.
#[derive(Clone, Debug)]
pub(crate) struct Xorshift {
    state: u64,
}

impl Xorshift {
    /// Creates a generator.
    pub(crate) const fn new(seed: u64) -> Self {
        // The generator stays at zero once it is there.
        Self { state: seed | 1 }
    }

    /// Draws a number.
    pub(crate) const fn next_bits(&mut self) -> u64 {
        let mut x = self.state;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.state = x;
        x >> 16
    }

    /// Draws a number below `bound`, or zero if the bound is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        usize::try_from(self.next_bits() % bound).unwrap_or(0)
    }

    /// Draws a number from 0 to 1.
    pub(crate) fn next_f64(&mut self) -> f64 {
        f64::from((self.next_bits() >> 24) as u32) / f64::from(1u32 << 24)
    }

    /// Puts items into a drawn order.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}
