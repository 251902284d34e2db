//! The first step of reading a request: its head, up to a size limit.

use std::io::{self, Read};

use super::{BadInput, Head};

/// Reads a request head within a size limit.
#[derive(Debug)]
pub struct HeadReader {
    bytes: Vec<u8>,
    limit: usize,
}

/// The largest number of bytes that one read call returns.
const READ_SIZE: usize = 4 * 1024;

impl HeadReader {
    /// Creates a reader that accepts at most `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
        }
    }

    /// Sets the bytes that were already received.
    #[must_use]
    pub fn with_bytes(mut self, bytes: Vec<u8>) -> Self {
        self.bytes = bytes;
        self
    }

    /// Reads a head and returns it with the bytes of the body that arrived with it.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too large or malformed, or does not arrive in time.
    pub fn read(mut self, stream: &mut impl Read) -> Result<(Head, Vec<u8>), BadInput> {
        loop {
            if let Some((head, length)) = Head::parse(&self.bytes)? {
                return Ok((head, self.bytes.split_off(length)));
            }
            if self.bytes.len() >= self.limit {
                return Err(BadInput::HeadTooLarge);
            }
            self.fill(stream)?;
        }
    }

    fn fill(&mut self, stream: &mut impl Read) -> Result<(), BadInput> {
        let mut buffer = [0; READ_SIZE];
        let length = READ_SIZE.min(self.limit - self.bytes.len());
        match stream.read(&mut buffer[..length]) {
            Ok(0) if self.bytes.is_empty() => Err(BadInput::Closed),
            Ok(0) => Err(BadInput::BadHead),
            Ok(count) => {
                self.bytes.extend_from_slice(&buffer[..count]);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(BadInput::TooSlow),
            Err(_) => Err(BadInput::Closed),
        }
    }
}
