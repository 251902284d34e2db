//! Sending and receiving over one connection to a backend server, with timeouts.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azureway_core::prelude::Incarnation;
use socket2::{SockRef, TcpKeepalive};

use super::timed_socket::nonzero;
use super::{AnswerHead, BodyStream, EofAsError, Framing, TimedSocket};
use crate::memory::{BodyBuffer, MemoryHold};

/// A connection to a backend server, which carries one request at a time.
#[derive(Debug)]
pub struct BackendConnection {
    reader: BufReader<TimedSocket>,
    /// Whether a failed write has reported the error of the connection, so that reads do not.
    reset: bool,
    /// The attempt ID of the last request, if the server rejected it.
    rejected: Option<Box<str>>,
    /// The incarnation of the server that the connection was opened to, if known.
    incarnation: Option<Incarnation>,
}

/// The time for which sent bytes may stay unacknowledged before the connection fails: several times
/// the first retransmission timeout, and well below the deadlines of callers.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The keepalive probes, which detect a lost server while an answer is awaited and nothing is
/// sent. The system counts their times in whole seconds.
const KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1));
/// The size of the read buffer, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// The size up to which a body is sent with its head, in bytes.
const MAX_JOINED: usize = 8 * 1024;
/// The maximum size of a response head, with the interim ones before it, in bytes.
const MAX_HEAD_SIZE: usize = 16 * 1024;
/// The maximum size of the body of an answer to a [`call`](BackendConnection::call), in bytes. A
/// report of some hundred cached blocks has about 50 KB, and the whole cache of a large engine some megabytes.
const MAX_CALL_BODY: usize = 8 * 1024 * 1024;

impl BackendConnection {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established in time.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        socket.set_tcp_keepalive(&KEEPALIVE)?;
        // Closing resets the connection, so that a request which is given up does not reach the server
        // later, when a link that holds its bytes up recovers.
        socket.set_linger(Some(Duration::ZERO))?;
        let reader = BufReader::with_capacity(READ_SIZE, TimedSocket::new(stream));
        Ok(Self {
            reader,
            reset: false,
            rejected: None,
            incarnation: None,
        })
    }

    /// Sets the incarnation of the server that the connection is opened to.
    #[must_use]
    pub const fn with_incarnation(mut self, incarnation: Option<Incarnation>) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Returns whether the connection was opened to this incarnation of the server. What an earlier one
    /// answers would pass for the words of the current one.
    pub fn leads_to(&self, incarnation: Option<Incarnation>) -> bool {
        self.incarnation == incarnation
    }

    /// Records that the server rejected the request with `attempt_id`, or answered another one.
    pub fn set_rejected(&mut self, attempt_id: Option<&str>) {
        self.rejected = attempt_id.map(Into::into);
    }

    /// Returns whether the last request had `attempt_id` and was rejected. If the server repeated
    /// that answer, it would pass for one to the same request sent again.
    pub fn has_rejected(&self, attempt_id: Option<&str>) -> bool {
        self.rejected.is_some() && self.rejected.as_deref() == attempt_id
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref().stream()
    }

    /// Returns the socket, to be closed by another thread.
    pub fn shared_stream(&self) -> &Arc<TcpStream> {
        self.reader.get_ref().shared_stream()
    }

    /// Sends a `GET` or `POST` request and returns the response head and the body, read into
    /// memory that stays in `hold`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is not received whole within `limit`, is too large, or has no room.
    pub fn call(
        &mut self,
        request: &[u8],
        limit: Duration,
        hold: &MemoryHold,
    ) -> io::Result<(AnswerHead, Vec<u8>)> {
        self.set_read_timeout(limit)?;
        self.set_deadline(Some(Instant::now() + limit));
        self.send(request, limit)?;
        let head = self.read_head()?;
        let framing = Framing::from_head(&head, "GET")?;
        let (mut body, mut buffer) = (BodyBuffer::new(hold), [0; READ_SIZE]);
        let mut source = self.body(framing);
        loop {
            let count = source.read(&mut buffer)?;
            if count == 0 {
                return Ok((head, body.finish()));
            }
            if body.len() + count > MAX_CALL_BODY {
                return Err(io::Error::other("the body of the answer is too large"));
            }
            body.push(&buffer[..count])?;
        }
    }

    /// Makes a `GET` [`call`](Self::call) on a new connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting takes longer than `limit`, or if the call fails.
    pub fn get(
        address: SocketAddr,
        path: &str,
        limit: Duration,
        hold: &MemoryHold,
    ) -> io::Result<(AnswerHead, Vec<u8>)> {
        let request =
            format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        Self::open(address, limit)?.call(request.as_bytes(), limit, hold)
    }

    /// Sends the bytes of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or a write blocks for longer than `limit`.
    pub fn send(&mut self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        self.stream().set_write_timeout(Some(nonzero(limit)))?;
        self.write(bytes)
    }

    /// Sends the head and the body of a request. Only a short body is copied, to be sent with its head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or a write blocks for longer than `limit`.
    pub fn send_parts(
        &mut self,
        mut head: Vec<u8>,
        body: &[u8],
        limit: Duration,
    ) -> io::Result<()> {
        let (joined, rest) = body.split_at(body.len().min(MAX_JOINED));
        head.extend_from_slice(joined);
        self.send(&head, limit)?;
        self.write(rest)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream().write_all(bytes);
        self.reset |= written.as_ref().is_err_and(hides_reset);
        written
    }

    /// Sets how long a read waits for bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the system rejects the option.
    pub fn set_read_timeout(&mut self, limit: Duration) -> io::Result<()> {
        self.reader.get_mut().set_timeout(limit)
    }

    /// Sets the time after which reads fail even if bytes arrive, or removes it.
    pub fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.reader.get_mut().set_deadline(deadline);
    }

    /// Reads the response head of the next final answer and skips interim (1xx) ones.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response head is received. Its kind is `UnexpectedEof` if
    /// the connection closed before the first byte, and `Other` if the head is not valid.
    pub fn read_head(&mut self) -> io::Result<AnswerHead> {
        let mut limit = MAX_HEAD_SIZE;
        loop {
            let (head, length) = self.next_head(limit)?;
            if head.status >= 200 {
                return Ok(head);
            }
            limit = limit.checked_sub(length).ok_or_else(head_too_large)?;
        }
    }

    /// Reads a response head of at most `limit` bytes. Returns it with its length in bytes.
    fn next_head(&mut self, limit: usize) -> io::Result<(AnswerHead, usize)> {
        let mut bytes = Vec::new();
        loop {
            let received = self.reader.fill_buf()?;
            if received.is_empty() {
                let unanswered = bytes.is_empty();
                return Err(io::Error::from(if unanswered {
                    io::ErrorKind::UnexpectedEof
                } else {
                    io::ErrorKind::InvalidData
                }));
            }
            let (before, count) = (bytes.len(), received.len());
            bytes.extend_from_slice(received);
            match AnswerHead::parse(&bytes).map_err(io::Error::other)? {
                Some((head, length)) => {
                    self.reader.consume(length - before);
                    return Ok((head, length));
                }
                None if bytes.len() > limit => {
                    return Err(head_too_large());
                }
                None => self.reader.consume(count),
            }
        }
    }

    /// Returns a reader of the body that follows a response head.
    pub fn body(&mut self, framing: Framing) -> BodyStream<'_> {
        match framing {
            Framing::Closing if self.reset => BodyStream::Reset(EofAsError(&mut self.reader)),
            framing => BodyStream::new(framing, &mut self.reader),
        }
    }

    /// Returns whether the connection can carry another request: the server has neither closed it
    /// nor sent unexpected bytes.
    pub fn is_reusable(&self) -> bool {
        if !self.reader.buffer().is_empty() || self.stream().set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream().peek(&mut [0]);
        let blocking = self.stream().set_nonblocking(false).is_ok();
        let silent = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        blocking && silent
    }
}

/// Returns whether reads after a write that failed with `error` end as if the server had closed the
/// connection, although it was reset or lost: the system reports the error of a connection once. A
/// write that only reached its time limit leaves the connection as it is, and `EPIPE` means that the
/// server had closed its side before.
fn hides_reset(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::BrokenPipe
    )
}

fn head_too_large() -> io::Error {
    io::Error::other("the response head is too large")
}
