//! Reading within the memory account.

use std::io::{self, Read};

use super::MemoryHold;

/// A reader that adds what it reads to a hold, and fails when there is no room.
#[derive(Debug)]
pub struct HeldReader<'a, R> {
    source: R,
    hold: &'a MemoryHold,
}

impl<'a, R> HeldReader<'a, R> {
    /// Creates a reader of `source`.
    pub const fn new(source: R, hold: &'a MemoryHold) -> Self {
        Self { source, hold }
    }

    /// Returns the source.
    pub fn into_inner(self) -> R {
        self.source
    }
}

impl<R: Read> Read for HeldReader<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.source.read(buffer)?;
        match self.hold.grow(count) {
            true => Ok(count),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}
