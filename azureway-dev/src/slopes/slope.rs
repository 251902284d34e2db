//! Fits the growth per unit to the samples of a probe.

use super::Sample;

/// The growth per unit of size, as the slope of a least-squares line through the samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The growth of the heap memory per unit, in bytes.
    pub memory: f64,
    /// The growth of the message per unit, in bytes.
    pub message: f64,
    /// The growth of an operation's duration per unit, in nanoseconds.
    pub time: f64,
}

impl Slope {
    /// Fits the slopes to samples of at least two different sizes.
    pub fn new(samples: &[Sample]) -> Self {
        Self {
            memory: fit(samples, |s| s.memory as f64),
            message: fit(samples, |s| s.message as f64),
            time: fit(samples, |s| s.time),
        }
    }
}

/// Returns the slope of the least-squares line of `value` over the size.
fn fit(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> f64 {
    let count = samples.len() as f64;
    let mean_size = samples.iter().map(|s| s.size as f64).sum::<f64>() / count;
    let mean_value = samples.iter().map(&value).sum::<f64>() / count;
    let variance: f64 = samples
        .iter()
        .map(|s| (s.size as f64 - mean_size).powi(2))
        .sum();
    let covariance = samples
        .iter()
        .map(|s| (s.size as f64 - mean_size) * (value(s) - mean_value));
    covariance.sum::<f64>() / variance
}
