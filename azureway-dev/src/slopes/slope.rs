//! The growth from one unit to the next.

use super::Sample;

/// The growth from one unit to the next, by least squares over the samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The bytes of memory a unit.
    pub memory: f64,
    /// The bytes of messages a unit.
    pub message: f64,
    /// The nanoseconds an operation grows by a unit.
    pub time: f64,
}

impl Slope {
    /// Fits a slope to samples.
    pub fn new(samples: &[Sample]) -> Self {
        Self {
            memory: fit(samples, |s| s.memory as f64),
            message: fit(samples, |s| s.message as f64),
            time: fit(samples, |s| s.time),
        }
    }
}

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
