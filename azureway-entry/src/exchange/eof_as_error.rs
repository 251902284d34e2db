//! A reader for which the end of the connection is an error.

use std::io::{self, Read};

/// A reader for which the end of the connection is an error, as it is within a body whose end
/// is marked.
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
