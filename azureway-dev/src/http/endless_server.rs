//! A server in trouble: its answer goes on until the caller closes the connection.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};

/// A server that answers each connection's first request with the start of an answer and then
/// repeats some bytes.
#[derive(Debug)]
pub struct EndlessServer {
    address: SocketAddr,
    closed: Receiver<u64>,
}

/// The number of bytes after which the server gives up on a caller that does not close the
/// connection.
const MAX_SENT: u64 = 96 * 1024 * 1024;
/// The size of a write if there is no pause between writes, in bytes.
const WRITE_SIZE: usize = 16 * 1024;
/// The number of connections whose ends are remembered.
const MAX_CLOSED: usize = 64;

impl EndlessServer {
    /// Starts a server on a free loopback port. Its answer is `start` followed by repetitions of
    /// `filler` without a pause.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn new(start: &str, filler: &str) -> io::Result<Self> {
        let filler = filler.repeat(WRITE_SIZE / filler.len().max(1) + 1);
        Self::with_pause(start, &filler, Duration::ZERO)
    }

    /// Starts a server that pauses between two repetitions of `filler`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn with_pause(start: &str, filler: &str, pause: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (start, filler) = (start.to_owned(), filler.to_owned());
        let (report, closed) = flume::bounded(MAX_CLOSED);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (start, filler, report) = (start.clone(), filler.clone(), report.clone());
                thread::spawn(move || send(stream, &start, &filler, pause, &report));
            }
        });
        Ok(Self { address, closed })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until a caller has closed its connection or the server has given up on it. Returns the
    /// number of bytes that it has sent, or `None` if neither happens within `limit`.
    pub fn wait_closed(&self, limit: Duration) -> Option<u64> {
        self.closed.recv_timeout(limit).ok()
    }
}

/// Sends the answer until the connection ends, and reports the number of bytes sent.
fn send(mut stream: TcpStream, start: &str, filler: &str, pause: Duration, report: &Sender<u64>) {
    let mut sent = 0;
    let mut text = start;
    // The request is not parsed: whatever it is, it gets the same answer.
    if matches!(stream.read(&mut [0; WRITE_SIZE]), Ok(1..)) {
        while sent < MAX_SENT && stream.write_all(text.as_bytes()).is_ok() {
            sent += text.len() as u64;
            text = filler;
            thread::park_timeout(pause);
        }
    }
    // A full ring means that nobody waits for this connection.
    let _ = report.try_send(sent);
}
