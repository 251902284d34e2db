//! Something whose growth is measured.

use std::time::Instant;

use super::Sample;

/// Something whose growth is measured.
pub trait Probe {
    /// What the size counts.
    const UNIT: &'static str;
    /// What one operation is.
    const OPERATION: &'static str;
    /// The sizes that are measured, from small to large.
    const SIZES: [u64; 3];

    /// Measures at one size.
    fn measure(size: u64) -> Sample;

    /// Measures at every size.
    fn measure_all() -> [Sample; 3] {
        Self::SIZES.map(Self::measure)
    }
}

/// Returns the mean nanoseconds of `count` operations.
pub(super) fn mean_nanos(count: u32, mut operation: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut operation);
    start.elapsed().as_nanos() as f64 / f64::from(count.max(1))
}
