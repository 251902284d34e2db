//! Writing of whole answers piece by piece.

use std::io::{self, Write};
use std::net::TcpStream;

use super::MemoryHold;

/// Writes an answer to a caller and records what the caller takes.
#[derive(Clone, Copy, Debug)]
pub struct HeldWriter<'a> {
    stream: &'a TcpStream,
    hold: &'a MemoryHold,
}

/// The size of a piece, in bytes.
const PIECE: usize = 16 * 1024;

impl<'a> HeldWriter<'a> {
    /// Creates a writer to `stream` that reports to `hold`.
    pub const fn new(stream: &'a TcpStream, hold: &'a MemoryHold) -> Self {
        Self { stream, hold }
    }

    /// Writes the head and the body of an answer. Only the start of the body is copied, to be sent with the
    /// head.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn write(mut self, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
        self.hold.queue(body.len());
        let (joined, rest) = body.split_at(body.len().min(PIECE));
        head.extend_from_slice(joined);
        self.stream.write_all(&head)?;
        self.hold.take(joined.len());
        for piece in rest.chunks(PIECE) {
            self.stream.write_all(piece)?;
            self.hold.take(piece.len());
        }
        Ok(())
    }
}
