//! The measurement of a probe at one size.

/// One measurement by a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The size that was measured, in units of the probe.
    pub size: u64,
    /// The heap memory of the state at this size, in bytes; zero if not measured.
    pub memory: u64,
    /// The length of the encoded message or document at this size, in bytes; zero if there is none.
    pub message: u64,
    /// The mean duration of one operation at this size, in nanoseconds.
    pub time: f64,
}
