//! One overload of a process by a crowd, and what is checked after it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::{ConnectionCrowd, FloodServer, Pace, ProcessProbe};

/// An overload of a process, with the peaks that were seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadTrial {
    /// The peak of the process's resident memory, in bytes, or `None` if it has ended.
    pub memory: Option<u64>,
    /// The most descriptors that were seen open.
    pub descriptors: usize,
    /// Whether an ordinary request was answered at the end.
    pub answered: bool,
}

/// The time between two looks at the process.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// The number of looks without a byte moved after which the crowd's load counts as complete.
const QUIET_LOOKS: u32 = 20;
/// The bound on the wait for that, so that a test cannot hang.
const MAX_LOAD: Duration = Duration::from_secs(30);
/// The bound on the wait for the answer to the ordinary request.
const MAX_ANSWER: Duration = Duration::from_secs(60);
/// The pause before a refused request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

impl OverloadTrial {
    /// Lets `count` clients send `start` and go on at `pace` until no more bytes move, and then sends the
    /// request `ordinary` while the clients are still connected. The ordinary client sends a request
    /// that was refused as not run again, as the refusal says.
    ///
    /// # Errors
    ///
    /// Returns an error if a client cannot connect.
    pub fn run(
        process: ProcessProbe,
        address: SocketAddr,
        server: &FloodServer,
        count: usize,
        start: &[u8],
        pace: Pace,
        ordinary: &[u8],
    ) -> io::Result<Self> {
        let crowd = ConnectionCrowd::open(address, count, start, pace)?;
        let mut descriptors = 0;
        let (mut quiet, mut moved) = (0, 0);
        let end = Instant::now() + MAX_LOAD;
        while quiet < QUIET_LOOKS && Instant::now() < end {
            thread::park_timeout(LOOK_PAUSE);
            descriptors = descriptors.max(process.descriptors().unwrap_or(0));
            let now = server.moved() + crowd.moved();
            quiet = if now == moved { quiet + 1 } else { 0 };
            moved = now;
        }
        let answered = ask(address, ordinary);
        descriptors = descriptors.max(process.descriptors().unwrap_or(0));
        let memory = process.peak_memory().ok();
        drop(crowd);
        Ok(Self {
            memory,
            descriptors,
            answered,
        })
    }
}

/// Sends a request until it is answered. Returns whether it was.
fn ask(address: SocketAddr, request: &[u8]) -> bool {
    let end = Instant::now() + MAX_ANSWER;
    while Instant::now() < end {
        let status = fetch(address, request).unwrap_or_default();
        if status.starts_with("HTTP/1.1 200") {
            return true;
        }
        if !(status.starts_with("HTTP/1.1 429") || status.starts_with("HTTP/1.1 503")) {
            return false;
        }
        thread::park_timeout(RETRY_PAUSE);
    }
    false
}

/// Returns the answer, if it is whole as far as its framing tells.
fn fetch(address: SocketAddr, request: &[u8]) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(MAX_ANSWER))?;
    stream.write_all(request)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
