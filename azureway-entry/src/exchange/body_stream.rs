//! Reading the body of an answer.

use std::io::{self, BufReader, Read, Take};
use std::net::TcpStream;

use chunked_transfer::Decoder;

use super::{EofAsError, Framing};

/// The body of an answer, read as it comes. Its end is `Ok(0)`; a body that breaks off before
/// its end is an error.
pub enum BodyStream<'a> {
    /// The rest of a body with a length.
    Sized(Take<EofAsError<&'a mut BufReader<TcpStream>>>),
    /// A body in chunks.
    Chunked(Box<Decoder<EofAsError<&'a mut BufReader<TcpStream>>>>),
    /// A body that ends with the connection.
    Closing(&'a mut BufReader<TcpStream>),
}

impl<'a> BodyStream<'a> {
    /// Creates the reader of the body that follows on a connection.
    pub fn new(framing: Framing, reader: &'a mut BufReader<TcpStream>) -> Self {
        match framing {
            Framing::Sized(length) => Self::Sized(EofAsError(reader).take(length)),
            Framing::Chunked => Self::Chunked(Box::new(Decoder::new(EofAsError(reader)))),
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
        }
    }
}
