//! Reading of whole answers within the memory account.

use std::io;

use super::MemoryHold;

/// The body of an answer that is read into memory. The memory stays in the hold.
#[derive(Debug)]
pub struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    hold: &'a MemoryHold,
}

/// The smallest memory of a body, in bytes.
const MIN_SIZE: usize = 16 * 1024;
/// The largest memory of a body, in bytes.
const MAX_SIZE: usize = 32 * 1024 * 1024;

impl<'a> BodyBuffer<'a> {
    /// Creates an empty body.
    pub const fn new(hold: &'a MemoryHold) -> Self {
        Self {
            bytes: Vec::new(),
            hold,
        }
    }

    /// Reserves memory for a body of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind `OutOfMemory` if there is no room, and of another if the body is too large.
    pub fn reserve(&mut self, length: usize) -> io::Result<()> {
        let more = length.saturating_sub(self.bytes.capacity());
        if length > MAX_SIZE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if more > 0 && !self.hold.grow(more) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.reserve_exact(length - self.bytes.len());
        Ok(())
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            self.reserve(needed.max(self.bytes.capacity() * 2).max(MIN_SIZE))?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the size so far, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the body, whose memory stays in the hold.
    pub fn finish(mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.hold.shrink(self.bytes.capacity());
    }
}
