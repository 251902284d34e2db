//! Reading a body within its bound.

use std::io::{self, Read};

use chunked_transfer::Decoder;

use super::{BadInput, Head};

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReader {
    /// The body has this many bytes.
    Sized(usize),
    /// The body comes in chunks.
    Chunked,
}

impl BodyReader {
    /// Reads from a head how the body's length is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is not a plain number, stands twice or goes with
    /// chunks: a reader that guesses could take a part of the body for another request.
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
        // `usize::from_str` takes a plus sign, which a length may not have.
        let plain = length.bytes().all(|b| b.is_ascii_digit());
        let length = length.parse().ok().filter(|_| plain);
        length.map(Self::Sized).ok_or(BadInput::BadLength)
    }

    fn chunked(coding: &str) -> Result<Self, BadInput> {
        let known = coding.eq_ignore_ascii_case("chunked");
        known.then_some(Self::Chunked).ok_or(BadInput::BadLength)
    }

    /// Reads a body of at most `bound` bytes, of which `early` have come with the head.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, cut short or broken, or does not come in
    /// time.
    pub fn read(
        self,
        early: &[u8],
        stream: &mut impl Read,
        bound: usize,
    ) -> Result<Vec<u8>, BadInput> {
        let source = early.chain(stream);
        match self {
            Self::Sized(length) if length > bound => Err(BadInput::BodyTooLarge),
            Self::Sized(length) => {
                let body = read_up_to(source, length)?;
                // A caller that hangs up early leaves a body that reads without an error.
                if body.len() < length {
                    Err(BadInput::BadBody)
                } else {
                    Ok(body)
                }
            }
            Self::Chunked => {
                let body = read_up_to(Decoder::new(source), bound + 1)?;
                if body.len() > bound {
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
        Err(_) => Err(BadInput::BadBody),
    }
}
