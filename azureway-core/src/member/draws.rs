//! Numbers drawn from a seed.

/// Numbers drawn from a seed with a xorshift generator.
#[derive(Clone, Debug)]
pub struct Draws {
    state: u64,
}

impl Draws {
    /// Creates a generator.
    pub const fn new(seed: u64) -> Self {
        // The generator stays at zero once it is there.
        Self { state: seed | 1 }
    }

    /// Draws a number.
    pub const fn draw(&mut self) -> u64 {
        let mut x = self.state;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.state = x;
        x >> 16
    }

    /// Draws a number below `bound`, or zero if the bound is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        usize::try_from(self.draw() % bound).unwrap_or(0)
    }

    /// Puts items into a drawn order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}
