//! The second step of reading a request: its body, up to a size limit.

use std::io::{self, Read};

use chunked_transfer::Decoder;

use super::{BadInput, Head};

/// Reads a request body by the framing that its head declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReader {
    /// The body has this many bytes.
    Sized(usize),
    /// The body comes in chunks.
    Chunked,
}

impl BodyReader {
    /// Returns the reader for the framing that `head` declares.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is not a plain number, is given twice or is combined with
    /// chunked coding. Guessing could interpret a part of the body as another request.
    pub fn new(head: &Head) -> Result<Self, BadInput> {
        let mut lengths = head.get_all("content-length");
        let mut codings = head.get_all("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(Self::Sized(0)),
            (Some(length), None) if lengths.next().is_none() => Self::sized(length),
            (None, Some(coding)) if codings.next().is_none() => Self::chunked(coding),
            _ => Err(BadInput::BadLength),
        }
    }

    fn sized(length: &str) -> Result<Self, BadInput> {
        // `usize::from_str` accepts a plus sign, which a length may not have.
        let is_plain = length.bytes().all(|b| b.is_ascii_digit());
        let length = length.parse().ok().filter(|_| is_plain);
        length.map(Self::Sized).ok_or(BadInput::BadLength)
    }

    fn chunked(coding: &str) -> Result<Self, BadInput> {
        let is_chunked = coding.eq_ignore_ascii_case("chunked");
        is_chunked
            .then_some(Self::Chunked)
            .ok_or(BadInput::BadLength)
    }

    /// Reads a body of at most `limit` bytes. `early` is the part that arrived with the head.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, truncated or malformed, or does not arrive in
    /// time.
    pub fn read(
        self,
        early: &[u8],
        stream: &mut impl Read,
        limit: usize,
    ) -> Result<Vec<u8>, BadInput> {
        let source = early.chain(stream);
        match self {
            Self::Sized(length) if length > limit => Err(BadInput::BodyTooLarge),
            Self::Sized(length) => {
                let body = read_up_to(source, length)?;
                // If the caller disconnects early, a truncated body reads without an error.
                if body.len() < length {
                    Err(BadInput::BadBody)
                } else {
                    Ok(body)
                }
            }
            Self::Chunked => {
                let body = read_up_to(Decoder::new(source), limit + 1)?;
                if body.len() > limit {
                    Err(BadInput::BodyTooLarge)
                } else {
                    Ok(body)
                }
            }
        }
    }
}

fn read_up_to(source: impl Read, count: usize) -> Result<Vec<u8>, BadInput> {
    let mut body = Vec::new();
    match source.take(count as u64).read_to_end(&mut body) {
        Ok(_) => Ok(body),
        Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(BadInput::TooSlow),
        Err(e) if e.kind() == io::ErrorKind::OutOfMemory => Err(BadInput::Overloaded),
        Err(_) => Err(BadInput::BadBody),
    }
}
