//! The trait of the scaling measurements, which the `slopes` table is made of.

use std::time::Instant;

use super::Sample;

/// A measurement that is repeated at several sizes.
pub trait Probe {
    /// The unit of the size, as printed in the table.
    const UNIT: &'static str;
    /// The timed operation, as printed in the table.
    const OPERATION: &'static str;
    /// The sizes to measure, in ascending order.
    const SIZES: [u64; 3];

    /// Takes a sample at one size.
    fn measure(size: u64) -> Sample;

    /// Takes a sample at every size in `SIZES`.
    fn measure_all() -> [Sample; 3] {
        Self::SIZES.map(Self::measure)
    }
}

/// Runs `operation` `count` times and returns its mean duration in nanoseconds.
pub(super) fn mean_nanos(count: u32, mut operation: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut operation);
    start.elapsed().as_nanos() as f64 / f64::from(count.max(1))
}
