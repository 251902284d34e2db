//! Counts the heap memory of the process, from which the probes compute growth.

use std::alloc::System;

use cap::Cap;

/// Counts the allocated bytes, without a limit.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The heap memory allocated at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Heap {
    bytes: usize,
}

impl Heap {
    /// Records the number of bytes allocated now.
    pub fn now() -> Self {
        Self {
            bytes: ALLOCATOR.allocated(),
        }
    }

    /// Returns by how many bytes the heap has grown since, or zero if it has shrunk.
    pub fn growth(self) -> u64 {
        ALLOCATOR.allocated().saturating_sub(self.bytes) as u64
    }
}
