//! Clients of the entry instances.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_sized};

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

/// The time for which a client waits to be connected.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

impl Client {
    /// Connects, and waits `limit` at most for each part of an answer.
    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request with a time budget in milliseconds. `more` holds further headers, each with its line end.
    pub fn send(
        &mut self,
        start: &str,
        id: &str,
        budget: u64,
        more: &str,
        body: &str,
    ) -> io::Result<()> {
        self.reader
            .get_mut()
            .write_all(request(start, id, budget, more, body).as_bytes())
    }

    /// Reads the head of an answer. Returns `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        Head::read(&mut self.reader)
    }

    /// Reads a body with a length.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        read_sized(&mut self.reader, length)
    }

    /// Returns the reader of the connection.
    pub const fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}

/// Returns the text of a request.
pub fn request(start: &str, id: &str, budget: u64, more: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{start} HTTP/1.1\r\nHost: shop.example\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Deadline-Ms: {budget}\r\n{length}{more}\r\n{body}"
    )
}

/// Returns the headers of a generation whose prompt has the given parts.
pub fn generation(parts: &str) -> String {
    format!(
        "Azureway-Model: m\r\nAzureway-Token-Usage: 4000,40\r\nAzureway-Prompt-Prefix: {parts}\r\n"
    )
}

/// Returns a list of parts that fills a head of `bytes` bytes together with `used` other ones. The IDs are
/// hexadecimal numbers from `first` on, and each part has one token.
pub fn long_prefix(bytes: usize, used: usize, first: u64) -> String {
    let mut parts = String::new();
    for number in first.. {
        let part = format!("{number:x}:1");
        if used + parts.len() + part.len() + 1 > bytes {
            break;
        }
        if number > first {
            parts.push(',');
        }
        parts.push_str(&part);
    }
    parts
}

/// Returns whether an entry instance says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
        stream.set_read_timeout(Some(CONNECT_LIMIT))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut start = [0; 12];
        stream.read_exact(&mut start)?;
        Ok(&start == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
