//! A socket whose reads fail after a deadline, however slowly bytes arrive.

use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The reading side of a connection to a backend server, with a time limit for each read and a
/// deadline for all reads of an answer together.
#[derive(Debug)]
pub struct TimedSocket {
    stream: Arc<TcpStream>,
    /// The time limit of the socket for a read, or zero if none has been set.
    timeout: Duration,
    deadline: Option<Instant>,
}

impl TimedSocket {
    /// Creates the reading side of `stream`, without limits.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            timeout: Duration::ZERO,
            deadline: None,
        }
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the socket, to be closed by another thread.
    pub const fn shared_stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Sets how long a read waits for bytes; the shortest limit is a millisecond.
    ///
    /// # Errors
    ///
    /// Returns an error if the system rejects the option.
    pub fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        self.timeout = nonzero(timeout);
        self.stream.set_read_timeout(Some(self.timeout))
    }

    /// Sets the time after which reads fail, or removes it.
    pub const fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.deadline = deadline;
    }
}

impl Read for TimedSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if self.timeout.is_zero() || left < self.timeout {
                self.set_timeout(left)?;
            }
        }
        (&*self.stream).read(buffer)
    }
}

/// Returns `limit`, or 1 ms if it is shorter: a timeout of zero would mean none.
pub(super) fn nonzero(limit: Duration) -> Duration {
    limit.max(Duration::from_millis(1))
}
