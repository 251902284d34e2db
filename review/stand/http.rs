//! Messages of HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the length that the head declares for the body.
    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    /// Returns whether the sender closes the connection after the message.
    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Conn {
    /// Creates the state of an open connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head, or returns `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            let found = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = found {
                break at + 4;
            }
            if !self.fill()? {
                return match self.bytes.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            line,
            headers: headers.collect(),
        }))
    }

    /// Reads exactly `count` bytes.
    pub fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.bytes.split_off(count);
        Ok(std::mem::replace(&mut self.bytes, rest))
    }

    /// Reads one chunk of a body. An empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::other("not the size of a chunk"))?;
        let chunk = self.exact(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads the whole body of a message.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exact(head.length());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.bytes.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..at]).into_owned();
                self.bytes.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.bytes.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }
}
