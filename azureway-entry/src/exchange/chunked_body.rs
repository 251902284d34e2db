//! Reading of response bodies in chunked transfer coding, whose framing has a bounded size.

use std::io::{self, BufRead, BufReader, Read};

use super::{EofAsError, TimedSocket};

/// A reader of a body in chunked transfer coding. A damaged size of a chunk is an error, and so is
/// framing whose lines or whose share of the body have no end.
pub struct ChunkedBody<'a> {
    reader: &'a mut BufReader<TimedSocket>,
    /// The number of bytes that are still missing from the current chunk.
    left: usize,
    /// Whether the last chunk was read.
    ended: bool,
    /// The line that was read last.
    line: Vec<u8>,
    /// The number of bytes by which the framing may still exceed the body so far.
    slack: u64,
}

/// The largest size of the line that starts a chunk, in bytes.
const MAX_CHUNK_LINE: u64 = 4 * 1024;
/// The number of bytes by which the framing of a body may exceed the body itself.
const MAX_SLACK: u64 = 1024 * 1024;

impl<'a> ChunkedBody<'a> {
    /// Creates a reader of the body that follows in `reader`.
    pub const fn new(reader: &'a mut BufReader<TimedSocket>) -> Self {
        Self {
            reader,
            left: 0,
            ended: false,
            line: Vec::new(),
            slack: MAX_SLACK,
        }
    }

    /// Reads the line that starts a chunk, and returns the chunk's size.
    fn read_size(&mut self) -> io::Result<usize> {
        self.read_line()?;
        parse_size(&self.line).ok_or_else(|| invalid("the size of a chunk is not valid"))
    }

    /// Reads the line break that ends a chunk, or the body after its last chunk.
    fn read_line_break(&mut self) -> io::Result<()> {
        self.read_line()?;
        match self.line.is_empty() {
            true => Ok(()),
            false => Err(invalid("a chunk does not end in a line break")),
        }
    }

    /// Reads a line without its line break, a CRLF.
    fn read_line(&mut self) -> io::Result<()> {
        self.line.clear();
        let mut limited = self.reader.by_ref().take(MAX_CHUNK_LINE);
        let count = limited.read_until(b'\n', &mut self.line)?;
        let Some(line) = self.line.strip_suffix(b"\r\n") else {
            return Err(invalid("a line of a chunk is cut short or too long"));
        };
        self.line.truncate(line.len());
        let slack = self.slack.checked_sub(count as u64);
        self.slack = slack.ok_or_else(|| invalid("the chunks are too small"))?;
        Ok(())
    }
}

impl Read for ChunkedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.ended || buffer.is_empty() {
            return Ok(0);
        }
        if self.left == 0 {
            self.left = self.read_size()?;
        }
        if self.left == 0 {
            self.read_line_break()?;
            self.ended = true;
            return Ok(0);
        }
        let size = self.left.min(buffer.len());
        let count = EofAsError(&mut *self.reader).read(&mut buffer[..size])?;
        self.slack += count as u64;
        self.left -= count;
        if self.left == 0 {
            self.read_line_break()?;
        }
        Ok(count)
    }
}

/// Returns the size in the line that starts a chunk. Extensions are ignored.
fn parse_size(line: &[u8]) -> Option<usize> {
    let size = line.split(|b| *b == b';').next()?;
    let size = str::from_utf8(size).ok()?.trim_end_matches([' ', '\t']);
    let digits_only = size.bytes().all(|b| b.is_ascii_hexdigit());
    let size = usize::from_str_radix(size, 16).ok();
    size.filter(|_| digits_only)
}

fn invalid(detail: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}
