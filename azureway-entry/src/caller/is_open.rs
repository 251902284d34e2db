//! Telling whether a caller is still there.

use std::io;
use std::net::TcpStream;

/// Tells whether the other side of a connection has not closed it.
///
/// # Errors
///
/// Returns an error if the connection is broken.
pub fn is_open(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match seen {
        Ok(count) => Ok(count > 0),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
        Err(e) => Err(e),
    }
}
