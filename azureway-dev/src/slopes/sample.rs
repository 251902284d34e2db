//! One measurement of a probe.

/// One measurement of a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The size.
    pub size: u64,
    /// The bytes of memory that the state of this size takes.
    pub memory: u64,
    /// The bytes of the messages that carry this size.
    pub message: u64,
    /// The nanoseconds of one operation at this size.
    pub time: f64,
}
