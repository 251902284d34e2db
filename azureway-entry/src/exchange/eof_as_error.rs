//! Detection of response bodies that are cut short.

use std::io::{self, Read};

/// A reader that reports the end of its source as an error, for bodies that end before the
/// connection does.
#[derive(Debug)]
pub struct EofAsError<R>(pub R);

impl<R: Read> Read for EofAsError<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.0.read(buffer) {
            Ok(0) if !buffer.is_empty() => Err(io::ErrorKind::UnexpectedEof.into()),
            result => result,
        }
    }
}
