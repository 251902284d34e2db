//! Reading of response bodies, in which a body that is cut short is an error.

use std::io::{self, BufReader, Read, Take};

use super::{ChunkedBody, EofAsError, Framing, TimedSocket};

/// A reader of an answer's body as it arrives. It returns `Ok(0)` at the end of the body; a body
/// that is cut short is an error.
pub enum BodyStream<'a> {
    /// A body with a known length.
    Sized(Take<EofAsError<&'a mut BufReader<TimedSocket>>>),
    /// A body in chunked transfer coding.
    Chunked(ChunkedBody<'a>),
    /// A body that ends when the connection closes.
    Closing(&'a mut BufReader<TimedSocket>),
    /// A body that would end when the connection closes, on a connection that was reset.
    Reset(EofAsError<&'a mut BufReader<TimedSocket>>),
}

impl<'a> BodyStream<'a> {
    /// Creates a reader of the body that follows in `reader`.
    pub fn new(framing: Framing, reader: &'a mut BufReader<TimedSocket>) -> Self {
        match framing {
            Framing::Sized(length) => Self::Sized(EofAsError(reader).take(length)),
            Framing::Chunked => Self::Chunked(ChunkedBody::new(reader)),
            Framing::Closing => Self::Closing(reader),
        }
    }
}

impl Read for BodyStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Sized(body) => body.read(buffer),
            Self::Chunked(body) => body.read(buffer),
            Self::Closing(body) => body.read(buffer),
            Self::Reset(body) => body.read(buffer),
        }
    }
}
