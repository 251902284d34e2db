//! The memory that a body occupies while it is being read.

use super::AnswerMemory;

/// The memory that one body occupies of an [`AnswerMemory`]. Dropping it releases the memory.
#[derive(Debug)]
pub struct AnswerReservation {
    memory: AnswerMemory,
    /// The size of the body so far, in bytes.
    size: usize,
    /// The part of the size that counts towards the bound, in bytes.
    reserved: usize,
}

/// The size up to which a body needs no reservation, in bytes, so that a few endless bodies do not
/// make short answers fail.
const FREE_SIZE: usize = 64 * 1024;

impl AnswerReservation {
    /// Creates the reservation of an empty body.
    pub(super) const fn new(memory: AnswerMemory) -> Self {
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

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.memory.remove(self.reserved);
    }
}
