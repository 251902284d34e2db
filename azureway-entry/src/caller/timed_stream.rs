//! A connection with a limit on the time until a request has arrived.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Instant;

/// The reading side of a connection, with one limit on the time of all reads together.
#[derive(Debug)]
pub struct TimedStream<'a> {
    stream: &'a TcpStream,
    limit: Instant,
}

impl<'a> TimedStream<'a> {
    /// Creates the reading side; reads fail after `limit`.
    pub const fn new(stream: &'a TcpStream, limit: Instant) -> Self {
        Self { stream, limit }
    }
}

impl Read for TimedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let rest = self.limit.saturating_duration_since(Instant::now());
        if rest.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(rest))?;
        match self.stream.read(buffer) {
            // The system reports the passing of a timeout as `WouldBlock`.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            result => result,
        }
    }
}
