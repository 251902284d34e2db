//! The error that names the failed step, the peer and the cause.

use std::fmt;

use super::{ErrorKind, Step};

/// An error of the library: its kind, the step at which it occurred, the peer that took part and a
/// description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    step: Step,
    peer: Option<Box<str>>,
    detail: Box<str>,
}

/// The length of the longest description, in bytes. Descriptions may quote what a peer sent.
const MAX_LENGTH: usize = 512;

impl Error {
    /// Creates an error of `kind` that occurred at `step`.
    pub fn new(kind: ErrorKind, step: Step, detail: impl fmt::Display) -> Self {
        Self {
            kind,
            step,
            peer: None,
            detail: bounded(detail),
        }
    }

    /// Sets the peer with which the step was carried out.
    #[must_use]
    pub fn with_peer(mut self, peer: impl fmt::Display) -> Self {
        self.peer = Some(bounded(peer));
        self
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the step at which the error occurred.
    pub fn step(&self) -> Step {
        self.step
    }

    /// Returns the peer, if one took part.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Returns the description of the error.
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " with {peer}")?;
        }
        write!(f, ": {}", self.detail)
    }
}

impl std::error::Error for Error {}

/// Returns the text of `value`, cut to [`MAX_LENGTH`].
fn bounded(value: impl fmt::Display) -> Box<str> {
    let mut text = value.to_string();
    let end = (0..=MAX_LENGTH).rev().find(|i| text.is_char_boundary(*i));
    text.truncate(end.unwrap_or_default());
    text.into()
}
