//! The wait for the next request on a caller's connection.

use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Waits for the next request on an idle connection.
#[derive(Debug)]
pub struct IdleWait<'a> {
    stream: &'a TcpStream,
    since: Instant,
}

impl<'a> IdleWait<'a> {
    /// Creates the wait on `stream`, which is idle from now on.
    pub fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            since: Instant::now(),
        }
    }

    /// Waits for the first byte of a request. Returns false if the connection ends first or has
    /// been idle for the time that `limit` returns. A limit that grows meanwhile extends the wait.
    pub fn run(&self, limit: impl Fn() -> Duration) -> bool {
        loop {
            let left = limit().saturating_sub(self.since.elapsed());
            if left.is_zero() {
                return false;
            }
            let set = self.stream.set_read_timeout(Some(left));
            match set.and_then(|()| self.stream.peek(&mut [0])) {
                Ok(count) => return count > 0,
                Err(e) if is_timeout(&e) => {}
                Err(_) => return false,
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
