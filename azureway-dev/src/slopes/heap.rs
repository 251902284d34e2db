//! The memory that the program has allocated.

use std::alloc::System;

use cap::Cap;

/// Counts what is allocated; it limits nothing.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The memory that the program had allocated at some time.
#[derive(Clone, Copy, Debug)]
pub struct Heap {
    bytes: usize,
}

impl Heap {
    /// Notes what is allocated now.
    pub fn now() -> Self {
        Self {
            bytes: ALLOCATOR.allocated(),
        }
    }

    /// Returns the bytes that were allocated since and are still held.
    pub fn growth(self) -> u64 {
        ALLOCATOR.allocated().saturating_sub(self.bytes) as u64
    }
}
