//! How the end of an answer's body is found.

use super::AnswerHead;

/// How the end of an answer's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Sized(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    Closing,
}

impl Framing {
    /// Reads the framing of the answer to a request with `method`. Returns `None` if the head
    /// is ambiguous.
    pub fn of(head: &AnswerHead, method: &str) -> Option<Self> {
        if method == "HEAD" || matches!(head.status, 204 | 304) {
            return Some(Self::Sized(0));
        }
        let length = head.get("content-length");
        match (length, head.get("transfer-encoding")) {
            (None, None) => Some(Self::Closing),
            (Some(length), None) => {
                let plain = length.bytes().all(|b| b.is_ascii_digit());
                length.parse().ok().filter(|_| plain).map(Self::Sized)
            }
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Some(Self::Chunked),
            (_, Some(_)) => None,
        }
    }
}
