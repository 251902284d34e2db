//! What a change does to one section.

use azureway_core::config::SectionChange;
use serde::{Deserialize, Serialize};

/// What a change does to one section.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct SectionBody {
    /// The name of the section.
    pub name: Box<str>,
    /// The text before, if the section existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Box<str>>,
    /// The text after, if the section exists; left out in the document's own record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Box<str>>,
}

impl From<&SectionChange> for SectionBody {
    fn from(change: &SectionChange) -> Self {
        let SectionChange {
            name,
            before,
            after,
        } = change.clone();
        Self {
            name,
            before,
            after,
        }
    }
}

impl From<SectionBody> for SectionChange {
    fn from(body: SectionBody) -> Self {
        Self::new(&body.name, body.before.as_deref(), body.after.as_deref())
    }
}
