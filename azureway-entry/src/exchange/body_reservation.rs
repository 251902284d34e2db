//! The memory that a body occupies.

use super::BodyMemory;

/// The memory that one body occupies of a [`BodyMemory`]. Dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    /// The size of the body so far, in bytes.
    size: usize,
    /// The part of the size that counts towards the bound, in bytes.
    reserved: usize,
}

/// The size up to which a body needs no reservation, in bytes, so that a few long bodies do not
/// make short ones fail.
const FREE_SIZE: usize = 64 * 1024;

impl BodyReservation {
    /// Creates the reservation of an empty body.
    pub(super) const fn new(memory: BodyMemory) -> Self {
        Self {
            memory,
            size: 0,
            reserved: 0,
        }
    }

    /// Adds `bytes` to the size of the body. Returns `false` if the memory is exhausted.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let size = self.size.saturating_add(bytes);
        let more = size.saturating_sub(FREE_SIZE) - self.reserved;
        let granted = self.memory.add(more);
        if granted {
            self.size = size;
            self.reserved += more;
        }
        granted
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.remove(self.reserved);
    }
}
