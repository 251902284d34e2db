//! Reading of response bodies in chunked transfer coding, whose framing has a bounded size.

use std::io::{self, BufReader, Read, Take};

use chunked_transfer::Decoder;

use super::{EofAsError, TimedSocket};

/// A reader of a body in chunked transfer coding. The decoder sets no limit on the lines that start
/// chunks, nor on their share of the body; this reader does.
pub struct ChunkedBody<'a> {
    decoder: Box<Decoder<Take<EofAsError<&'a mut BufReader<TimedSocket>>>>>,
    /// The number of bytes by which the framing may still exceed the body so far.
    slack: u64,
}

/// The largest size of the line that starts a chunk, with the line breaks around a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 4 * 1024;
/// The number of bytes by which the framing of a body may exceed the body itself.
const MAX_SLACK: u64 = 1024 * 1024;

impl<'a> ChunkedBody<'a> {
    /// Creates a reader of the body that follows in `reader`.
    pub fn new(reader: &'a mut BufReader<TimedSocket>) -> Self {
        Self {
            decoder: Box::new(Decoder::new(EofAsError(reader).take(0))),
            slack: MAX_SLACK,
        }
    }
}

impl Read for ChunkedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let limit = (buffer.len() + MAX_CHUNK_LINE) as u64;
        self.decoder.get_mut().set_limit(limit);
        let count = self.decoder.read(buffer)?;
        let received = limit - self.decoder.get_ref().limit();
        let framing = received - count as u64;
        let slack = (self.slack + count as u64).checked_sub(framing);
        self.slack = slack.ok_or_else(|| io::Error::other("the chunks are too small"))?;
        Ok(count)
    }
}
