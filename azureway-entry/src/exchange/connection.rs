//! A connection to a backend server.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

use super::{AnswerHead, BodyStream, Framing};

/// A connection to a backend server, which carries one request after the other.
#[derive(Debug)]
pub struct BackendConnection {
    reader: BufReader<TcpStream>,
}

/// How long bytes may stay unacknowledged before the server counts as lost: several times the
/// first retransmission, and well below the time that callers have.
const LOST_TIME: Duration = Duration::from_millis(1_000);
/// The probes of a connection on which an answer is awaited and nothing is sent; the system
/// counts them in whole seconds.
const KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1));
/// The bytes that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// The bytes of an answer's head at most.
const HEAD_MAX: usize = 64 * 1024;

impl BackendConnection {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not take the connection in time.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(LOST_TIME))?;
        socket.set_tcp_keepalive(&KEEPALIVE)?;
        let reader = BufReader::with_capacity(READ_SIZE, stream);
        Ok(Self { reader })
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Asks for something small and returns the head and the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer comes; each read waits for `limit` at most.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> io::Result<(AnswerHead, Vec<u8>)> {
        self.set_read_timeout(limit)?;
        self.send(request, limit)?;
        let head = self.read_head()?;
        let framing = Framing::of(&head, "GET");
        let framing = framing.ok_or_else(|| io::Error::other("the length is ambiguous"))?;
        let mut body = Vec::new();
        self.body(framing).read_to_end(&mut body)?;
        Ok((head, body))
    }

    /// Sends the bytes of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the server does not read within `limit`.
    pub fn send(&self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        self.stream().set_write_timeout(Some(at_least(limit)))?;
        self.stream().write_all(bytes)
    }

    /// Sets how long a read waits.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is broken.
    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.stream().set_read_timeout(Some(at_least(limit)))
    }

    /// Reads the head of the next answer; interim answers are passed over.
    ///
    /// # Errors
    ///
    /// Returns an error if no head comes, with the kind `UnexpectedEof` if not a byte came.
    pub fn read_head(&mut self) -> io::Result<AnswerHead> {
        loop {
            let head = self.next_head()?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    fn next_head(&mut self) -> io::Result<AnswerHead> {
        let mut bytes = Vec::new();
        loop {
            let fresh = self.reader.fill_buf()?;
            if fresh.is_empty() {
                let cut = bytes.is_empty();
                return Err(io::Error::from(if cut {
                    io::ErrorKind::UnexpectedEof
                } else {
                    io::ErrorKind::InvalidData
                }));
            }
            let (before, count) = (bytes.len(), fresh.len());
            bytes.extend_from_slice(fresh);
            match AnswerHead::parse(&bytes).map_err(io::Error::other)? {
                Some((head, length)) => {
                    self.reader.consume(length - before);
                    return Ok(head);
                }
                None if bytes.len() > HEAD_MAX => {
                    return Err(io::Error::other("the head of the answer is too large"));
                }
                None => self.reader.consume(count),
            }
        }
    }

    /// Returns the body that follows a head.
    pub fn body(&mut self, framing: Framing) -> BodyStream<'_> {
        BodyStream::new(framing, &mut self.reader)
    }

    /// Tells whether the connection can carry another request: the server has neither closed
    /// it nor sent bytes that belong to no request.
    pub fn is_reusable(&self) -> bool {
        if !self.reader.buffer().is_empty() || self.stream().set_nonblocking(true).is_err() {
            return false;
        }
        let seen = self.stream().peek(&mut [0]);
        let blocking = self.stream().set_nonblocking(false).is_ok();
        let silent = seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        blocking && silent
    }
}

/// Returns a limit that the system takes: zero would mean none.
fn at_least(limit: Duration) -> Duration {
    limit.max(Duration::from_millis(1))
}
