//! Many clients that move their bytes slowly.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::Pace;

/// Connections that each send the start of a request at full speed and then go on at a [`Pace`].
/// Dropping the crowd closes them.
#[derive(Debug)]
pub struct ConnectionCrowd {
    moved: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// The pause between two steps of a client that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(500);
/// The number of bytes of such a step.
const TRICKLE_SIZE: usize = 4;
/// The size of a read at full speed, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// The pause after a round in which no client moved a byte at full speed.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

impl ConnectionCrowd {
    /// Opens `count` connections to `address`, each of which sends `start`.
    ///
    /// # Errors
    ///
    /// Returns an error if a connection cannot be opened.
    pub fn open(address: SocketAddr, count: usize, start: &[u8], pace: Pace) -> io::Result<Self> {
        let mut clients = Vec::new();
        for _ in 0..count {
            let stream = TcpStream::connect(address)?;
            stream.set_nonblocking(true)?;
            clients.push((stream, 0, 0));
        }
        let (moved, stop) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (count, ended, start) = (Arc::clone(&moved), Arc::clone(&stop), start.to_vec());
        let thread = thread::spawn(move || run(&mut clients, &start, pace, &count, &ended));
        Ok(Self {
            moved,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the number of bytes that were moved at full speed.
    pub fn moved(&self) -> u64 {
        self.moved.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionCrowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Moves the bytes of all clients until the crowd is dropped. Each client has its stream, the number of
/// bytes of `start` that it has sent, and the number of bytes that it has read.
fn run(
    clients: &mut [(TcpStream, usize, usize)],
    start: &[u8],
    pace: Pace,
    moved: &AtomicU64,
    ended: &AtomicBool,
) {
    let mut trickled = std::time::Instant::now();
    while !ended.load(Ordering::Relaxed) {
        let mut count = 0;
        let trickle = trickled.elapsed() >= TRICKLE_PAUSE;
        for (stream, sent, read) in &mut *clients {
            if *sent < start.len() {
                let bytes = stream.write(&start[*sent..]).unwrap_or(0);
                *sent += bytes;
                count += bytes;
                continue;
            }
            match pace {
                Pace::ReadThenTrickle(fast) if *read < fast => {
                    let bytes = read_some(stream, READ_SIZE.min(fast - *read));
                    *read += bytes;
                    count += bytes;
                }
                Pace::ReadThenTrickle(_) if trickle => drop(read_some(stream, TRICKLE_SIZE)),
                Pace::SendTrickle if trickle => drop(stream.write(&[b'a'; TRICKLE_SIZE])),
                _ => {}
            }
        }
        if trickle {
            trickled = std::time::Instant::now();
        }
        moved.fetch_add(count as u64, Ordering::Relaxed);
        if count == 0 {
            thread::park_timeout(IDLE_PAUSE);
        }
    }
}

fn read_some(stream: &mut TcpStream, limit: usize) -> usize {
    match stream.read(&mut vec![0; limit]) {
        Ok(count) => count,
        Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
        // A connection that was closed moves nothing more.
        Err(_) => 0,
    }
}
