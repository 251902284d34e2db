//! The limits that follow from the memory and the descriptors of the instance.

/// The limits on what a process holds for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The memory that all holders share, in bytes.
    pub total: usize,
    /// The part of `total` that only small holders may use, in bytes.
    pub reserve: usize,
    /// The largest number of callers' connections.
    pub connections: usize,
}

/// The memory that a process needs for itself, in bytes.
const BASE: u64 = 16 * 1024 * 1024;
/// The least memory that holders share, in bytes: a request of 4 MiB, the largest that the platform
/// lets through, and an answer as long, besides the reserve.
const MIN_TOTAL: u64 = 10 * 1024 * 1024;
/// The divisor of the memory beyond [`BASE`] that gives what holders share. The rest is that of the process's
/// own work (see [`OwnLimits`](super::OwnLimits)), of copies in the making, and what the allocator cannot return.
const SHARED_DIVISOR: u64 = 2;
/// The part of the shared memory that is reserved for small holders.
const RESERVE_DIVISOR: u64 = 8;
/// The part of the descriptors that callers' connections and their attempts may take, in quarters.
const SOCKET_QUARTERS: usize = 3;
/// The descriptors of a caller's connection: its own and that to the backend server.
const CONNECTION_DESCRIPTORS: usize = 2;

impl MemoryLimits {
    /// Returns the limits of an instance with `memory` megabytes and `descriptors` descriptors, of
    /// which no more than `connections` callers may use some.
    pub fn new(memory: u64, descriptors: usize, connections: usize) -> Self {
        let total = (beyond_base(memory) / SHARED_DIVISOR).max(MIN_TOTAL);
        let sockets = descriptors / 4 * SOCKET_QUARTERS;
        Self {
            total: usize::try_from(total).unwrap_or(usize::MAX),
            reserve: usize::try_from(total / RESERVE_DIVISOR).unwrap_or(usize::MAX),
            connections: connections.min(sockets / CONNECTION_DESCRIPTORS).max(1),
        }
    }
}

/// Returns the memory that `memory` megabytes leave beyond [`BASE`], in bytes.
pub(super) const fn beyond_base(memory: u64) -> u64 {
    memory.saturating_mul(1_000_000).saturating_sub(BASE)
}
