//! The key of a holder of memory.

/// Identifies a holder in a [`MemoryLedger`](super::MemoryLedger). No ID is given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);
