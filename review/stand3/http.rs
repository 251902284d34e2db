//! Minimal HTTP/1.1 for the stand-ins and the clients of the cases.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns word `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            let empty = message.line.is_empty();
            return if empty {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.line.is_empty() {
            message.line = text;
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that follows a head, by its length or in chunks. An answer with neither ends with its
/// connection if `closing` is set.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    closing: bool,
) -> io::Result<()> {
    if let Some(length) = message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok())
    {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if closing {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a whole request, or `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Reads a whole response.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(reader, &mut message, true)?;
    Ok(message)
}
