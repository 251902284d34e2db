//! The limits on the memory of the instance's own work.

use super::memory_limits::beyond_base;

/// The limits on what a process holds for its own calls, and on what they leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLimits {
    /// The memory of all calls to backend servers: their answers, and what these are decoded to until it is
    /// applied, in bytes.
    pub calls: usize,
    /// The largest answer of the platform, and the largest list that is kept of it, in bytes.
    pub objects: usize,
    /// The memory of the index of cached blocks, in bytes.
    pub index: usize,
}

/// The divisor of the memory beyond the base that gives that of calls to backend servers.
const CALLS_DIVISOR: u64 = 8;
/// The divisor that gives the memory of the index of cached blocks.
const INDEX_DIVISOR: u64 = 8;
/// The divisor that gives the largest answer of the platform. Its kinds are read by threads of their own,
/// and an answer is held about twice while it is decoded.
const OBJECTS_DIVISOR: u64 = 16;
/// The least memory of calls and of the index, in bytes.
const MIN_SIZE: u64 = 2 * 1024 * 1024;
/// The least size of the largest answer of the platform, in bytes: an object of 1 MiB, the largest that it
/// stores, whose text is escaped.
const MIN_OBJECTS: u64 = 2 * 1024 * 1024;

impl OwnLimits {
    /// Returns the limits of an instance with `memory` megabytes.
    pub fn new(memory: u64) -> Self {
        let beyond = beyond_base(memory);
        let part = |divisor: u64, least: u64| {
            let bytes = (beyond / divisor).max(least);
            usize::try_from(bytes).unwrap_or(usize::MAX)
        };
        Self {
            calls: part(CALLS_DIVISOR, MIN_SIZE),
            objects: part(OBJECTS_DIVISOR, MIN_OBJECTS),
            index: part(INDEX_DIVISOR, MIN_SIZE),
        }
    }
}
