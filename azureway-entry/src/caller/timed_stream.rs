//! A bound on how long a caller may take to send a request, however slowly the bytes arrive.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

/// The reading side of a connection, with one deadline for all reads together.
#[derive(Debug)]
pub struct TimedStream<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl<'a> TimedStream<'a> {
    /// Creates the reading side of `stream`. Reads fail after `deadline`.
    pub const fn new(stream: &'a TcpStream, deadline: Instant) -> Self {
        Self { stream, deadline }
    }
}

impl Read for TimedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let timeout = self.deadline.saturating_duration_since(Instant::now());
        if timeout.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(timeout))?;
        match self.stream.read(buffer) {
            // The system reports an expired timeout as `WouldBlock`.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            result => result,
        }
    }
}
