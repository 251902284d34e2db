//! Reading a head within its bound.

use std::io::{self, Read};

use super::{BadInput, Head};

/// Reads a head within a bound of bytes.
#[derive(Debug)]
pub struct HeadReader {
    bytes: Vec<u8>,
    bound: usize,
}

/// The bytes that are read at once.
const READ_SIZE: usize = 4 * 1024;

impl HeadReader {
    /// Creates a reader that takes `bound` bytes at most.
    pub const fn new(bound: usize) -> Self {
        Self {
            bytes: Vec::new(),
            bound,
        }
    }

    /// Sets the bytes that came before.
    #[must_use]
    pub fn with_bytes(mut self, bytes: Vec<u8>) -> Self {
        self.bytes = bytes;
        self
    }

    /// Reads a head and returns it with the bytes of the body that came along.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too large, is no head or does not come in time.
    pub fn read(mut self, stream: &mut impl Read) -> Result<(Head, Vec<u8>), BadInput> {
        loop {
            if let Some((head, length)) = Head::parse(&self.bytes)? {
                return Ok((head, self.bytes.split_off(length)));
            }
            if self.bytes.len() >= self.bound {
                return Err(BadInput::HeadTooLarge);
            }
            self.fill(stream)?;
        }
    }

    fn fill(&mut self, stream: &mut impl Read) -> Result<(), BadInput> {
        let mut buffer = [0; READ_SIZE];
        let room = READ_SIZE.min(self.bound - self.bytes.len());
        match stream.read(&mut buffer[..room]) {
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
