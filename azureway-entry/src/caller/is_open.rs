//! Detection of a disconnected caller.

use std::io;
use std::net::TcpStream;

/// Returns whether the other side has not closed the connection.
///
/// # Errors
///
/// Returns an error if the connection is broken.
pub fn is_open(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(count) => Ok(count > 0),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
        Err(e) => Err(e),
    }
}
