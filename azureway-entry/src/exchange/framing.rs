//! The end of an answer's body, as its response head determines it.

use std::io;

use super::AnswerHead;

/// The rule that determines the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has a known length in bytes.
    Sized(u64),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    Closing,
}

impl Framing {
    /// Returns the framing of the answer to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if the response head is ambiguous.
    pub fn from_head(head: &AnswerHead, method: &str) -> io::Result<Self> {
        if method == "HEAD" || matches!(head.status, 204 | 304) {
            return Ok(Self::Sized(0));
        }
        Self::from_fields(head)
            .ok_or_else(|| io::Error::other("the length of the answer's body is ambiguous"))
    }

    fn from_fields(head: &AnswerHead) -> Option<Self> {
        let mut lengths = head.get_all("content-length");
        let mut codings = head.get_all("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (None, None) => Some(Self::Closing),
            (Some(length), None) if lengths.all(|l| l == length) => {
                let digits_only = length.bytes().all(|b| b.is_ascii_digit());
                length.parse().ok().filter(|_| digits_only).map(Self::Sized)
            }
            (None, Some(coding)) if codings.next().is_none() => coding
                .eq_ignore_ascii_case("chunked")
                .then_some(Self::Chunked),
            _ => None,
        }
    }
}
