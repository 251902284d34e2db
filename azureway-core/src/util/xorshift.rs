//! The seeded random numbers behind jitter and random selection.

/// A xorshift generator of pseudo-random numbers.
#[derive(Clone, Debug)]
pub(crate) struct Xorshift {
    state: u64,
}

impl Xorshift {
    /// Creates a generator from `seed`.
    pub(crate) const fn new(seed: u64) -> Self {
        // A state of zero would produce only zeros.
        Self { state: seed | 1 }
    }

    /// Returns the next 48 pseudo-random bits.
    pub(crate) const fn next_bits(&mut self) -> u64 {
        let mut x = self.state;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.state = x;
        x >> 16
    }

    /// Returns a pseudo-random number below `bound`, or zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        usize::try_from(self.next_bits() % bound).unwrap_or(0)
    }

    /// Returns a pseudo-random number that is at least 0 and less than 1.
    pub(crate) fn next_f64(&mut self) -> f64 {
        f64::from((self.next_bits() >> 24) as u32) / f64::from(1u32 << 24)
    }

    /// Shuffles `items`.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}
