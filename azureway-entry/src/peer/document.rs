//! The configuration document as peers pass it on.

use std::sync::Arc;

use azureway_core::prelude::ConfigVersion;

/// The configuration document as the platform accepted it, with the version it has there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The version.
    pub version: ConfigVersion,
    /// The text.
    pub text: Arc<str>,
}

impl Document {
    /// Creates a document.
    pub fn new(version: ConfigVersion, text: &str) -> Self {
        Self {
            version,
            text: text.into(),
        }
    }
}
