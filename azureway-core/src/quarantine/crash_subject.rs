//! The possible causes of a crash that crash reports are about.

use std::fmt;

use crate::domain::{Fingerprint, PartKey};

/// What a crash report is about: what was at a backend server when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashSubject {
    /// A request and its repetitions.
    Request(Fingerprint),
    /// A part of prompts, in whatever request.
    Part(PartKey),
}

impl fmt::Display for CrashSubject {
    /// Writes the kind of the subject and its digest in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request-{fingerprint}"),
            Self::Part(key) => write!(f, "part-{key}"),
        }
    }
}
