//! Configuration documents as entry instances exchange them.

use std::sync::Arc;

use azureway_core::prelude::ConfigVersion;

/// A configuration document that the platform accepted, with its version there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The version that the platform gave the document.
    pub version: ConfigVersion,
    /// The text of the document, as the platform stores it.
    pub text: Arc<str>,
}

impl Document {
    /// Creates a document from its version and text.
    pub fn new(version: ConfigVersion, text: &str) -> Self {
        Self {
            version,
            text: text.into(),
        }
    }
}
