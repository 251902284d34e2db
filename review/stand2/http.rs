//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, Read};

/// A request or a response without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        head.start = line.trim_end().to_owned();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = line.trim_end();
            if text.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = text.split_once(':') {
                let name = name.to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, or `None` if the line is no status line.
    pub fn status(&self) -> Option<u16> {
        let rest = self.start.strip_prefix("HTTP/1.1 ")?;
        rest.split(' ').next()?.parse().ok()
    }

    /// Returns the length that the head states for the body.
    pub fn length(&self) -> usize {
        let length = self.get("content-length");
        length.and_then(|l| l.parse().ok()).unwrap_or(0)
    }
}

/// Reads a body with a length.
pub fn read_sized(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next chunk of a body. Returns an empty one at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
    let chunk = read_sized(reader, length)?;
    line.clear();
    reader.read_line(&mut line)?;
    match line.as_str() {
        "\r\n" => Ok(chunk),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Returns a response with a JSON body.
pub fn json(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}
