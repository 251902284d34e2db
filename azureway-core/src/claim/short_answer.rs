//! An answer that is short enough to be kept with its claim.

/// An answer that is short enough to be kept with its claim and given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: Box<str>,
    /// The body.
    pub body: Box<str>,
}

impl ShortAnswer {
    /// The longest body that is kept, in bytes.
    pub const BODY_MAX: usize = 4 * 1024;

    /// Creates the kept form of an answer, unless its body is too long or no text.
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
