//! Reading of a request body whose first bytes arrived with the head.

use std::io::{self, Read};

/// A reader that returns bytes received by an earlier read before those of its source.
#[derive(Debug)]
pub struct PrefixedReader<R> {
    bytes: Vec<u8>,
    position: usize,
    source: R,
}

impl<R> PrefixedReader<R> {
    /// Creates a reader of `bytes` and then of `source`.
    pub const fn new(bytes: Vec<u8>, source: R) -> Self {
        Self {
            bytes,
            position: 0,
            source,
        }
    }

    /// Returns the bytes of the prefix that were not read.
    pub fn into_unread(mut self) -> Vec<u8> {
        self.bytes.split_off(self.position)
    }
}

impl<R: Read> Read for PrefixedReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let rest = &self.bytes[self.position..];
        if rest.is_empty() {
            return self.source.read(buffer);
        }
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Ok(count)
    }
}
