//! Bytes that came with an earlier read.

use std::io::{self, Read};

/// A reader that first gives the bytes that came with an earlier read.
#[derive(Debug)]
pub struct PrefixedReader<R> {
    bytes: Vec<u8>,
    place: usize,
    source: R,
}

impl<R> PrefixedReader<R> {
    /// Creates a reader of `bytes` and then of `source`.
    pub const fn new(bytes: Vec<u8>, source: R) -> Self {
        Self {
            bytes,
            place: 0,
            source,
        }
    }

    /// Returns the bytes that were not read.
    pub fn into_rest(mut self) -> Vec<u8> {
        self.bytes.split_off(self.place)
    }
}

impl<R: Read> Read for PrefixedReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let rest = &self.bytes[self.place..];
        if rest.is_empty() {
            return self.source.read(buffer);
        }
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.place += count;
        Ok(count)
    }
}
