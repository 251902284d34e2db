//! A backend server with long answers.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::FloodKind;

/// A backend server that answers by the [`FloodKind`] that the request names, as fast as its caller
/// reads.
#[derive(Debug)]
pub struct FloodServer {
    address: SocketAddr,
    moved: Arc<AtomicU64>,
}

/// The number of events of a long stream.
const EVENT_COUNT: usize = 12_288;
/// The size of the text of an event, in bytes.
const EVENT_SIZE: usize = 1_000;
/// The size of a long answer with a length, in bytes.
const BODY_SIZE: usize = 4 * 1024 * 1024;
/// The size of a write, in bytes.
const WRITE_SIZE: usize = 16 * 1024;
/// The pause between two reads of a slow reader.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// The stack size of the thread of a connection, in bytes.
const STACK_SIZE: usize = 128 * 1024;

impl FloodServer {
    /// Starts a server on a free loopback port. Each answer carries the lines of `headers`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(headers: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let moved = Arc::new(AtomicU64::new(0));
        let (count, headers): (_, Arc<str>) = (Arc::clone(&moved), headers.into());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (count, headers) = (Arc::clone(&count), Arc::clone(&headers));
                let thread = thread::Builder::new().stack_size(STACK_SIZE);
                // The connection ends with the test or by an error on either side.
                let _ = thread.spawn(move || serve(stream, &headers, &count));
            }
        });
        Ok(Self { address, moved })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes of long answers sent so far.
    pub fn moved(&self) -> u64 {
        self.moved.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, headers: &str, moved: &AtomicU64) -> io::Result<()> {
    loop {
        let head = read_head(&mut stream)?;
        let length = length(&head);
        if head.contains(FloodKind::SlowRead.word()) {
            return read_slowly(&mut stream);
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body);
        let mut kinds = FloodKind::SPECIAL.into_iter();
        let kind = kinds.find(|k| head.contains(k.word()) || body.contains(k.word()));
        answer(
            &mut stream,
            headers,
            kind.unwrap_or(FloodKind::Short),
            moved,
        )?;
    }
}

fn answer(
    stream: &mut TcpStream,
    headers: &str,
    kind: FloodKind,
    moved: &AtomicU64,
) -> io::Result<()> {
    match kind {
        FloodKind::Stream => send_stream(stream, headers, EVENT_COUNT, moved),
        FloodKind::SlowRead => read_slowly(stream),
        FloodKind::Sized => send_sized(stream, headers, moved),
        FloodKind::Short => send_stream(stream, headers, 1, moved),
    }
}

fn send_stream(
    stream: &mut TcpStream,
    headers: &str,
    events: usize,
    moved: &AtomicU64,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let text = "a".repeat(EVENT_SIZE);
    for id in 0..events {
        let event = format!(
            "id: {id}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
        );
        stream.write_all(event.as_bytes())?;
        moved.fetch_add(event.len() as u64, Ordering::Relaxed);
    }
    stream.write_all(format!("id: {events}\ndata: [DONE]\n\n").as_bytes())?;
    Err(io::ErrorKind::ConnectionAborted.into())
}

fn send_sized(stream: &mut TcpStream, headers: &str, moved: &AtomicU64) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {BODY_SIZE}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let part = [b'a'; WRITE_SIZE];
    for _ in 0..BODY_SIZE / WRITE_SIZE {
        stream.write_all(&part)?;
        moved.fetch_add(WRITE_SIZE as u64, Ordering::Relaxed);
    }
    Ok(())
}

/// Reads a few bytes at a time until the connection ends.
fn read_slowly(stream: &mut TcpStream) -> io::Result<()> {
    while stream.read(&mut [0; 8])? > 0 {
        thread::park_timeout(READ_PAUSE);
    }
    Ok(())
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).map_err(io::Error::other)
}

fn length(head: &str) -> usize {
    let head = head.to_ascii_lowercase();
    let line = head.lines().find_map(|l| l.strip_prefix("content-length:"));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0)
}
