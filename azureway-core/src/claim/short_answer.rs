//! Stores an answer with its claim, so that a repeated request gets it again.

/// An answer that is short enough to store with its claim, for replay to later requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortAnswer {
    /// The HTTP response status.
    pub status: u16,
    /// The media type of the body.
    pub media: Box<str>,
    /// The body, which is valid UTF-8.
    pub body: Box<str>,
}

impl ShortAnswer {
    /// The longest body that is stored, in bytes.
    pub const BODY_MAX: usize = 4 * 1024;

    /// Creates an answer to store. Returns `None` if its body is too long or not UTF-8.
    pub fn new(status: u16, media: &str, body: &[u8]) -> Option<Self> {
        if body.len() > Self::BODY_MAX {
            return None;
        }
        let body = std::str::from_utf8(body).ok()?;
        Some(Self {
            status,
            media: media.into(),
            body: body.into(),
        })
    }
}
