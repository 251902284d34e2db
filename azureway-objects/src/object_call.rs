//! The encoded form of a call, which a codec builds and the HTTP client sends.

/// A call of an object API, as a codec encodes it for HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectCall {
    /// The HTTP method.
    pub method: &'static str,
    /// The path and query of the URL, without the leading slash.
    pub path: String,
    /// The body, if the call has one.
    pub body: Option<String>,
}

impl ObjectCall {
    /// Creates a call without a body.
    pub fn new(method: &'static str, path: String) -> Self {
        Self {
            method,
            path,
            body: None,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: String) -> Self {
        self.body = Some(body);
        self
    }
}
