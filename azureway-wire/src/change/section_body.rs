//! One element of a [`ChangeBody`](super::ChangeBody): a section before and after the change.

use azureway_core::config::SectionChange;
use serde::{Deserialize, Serialize};

/// The change of one section of the operators' document.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct SectionBody {
    /// The name of the section.
    pub name: Box<str>,
    /// The text before the change, if the section existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Box<str>>,
    /// The text after the change, if the section still exists; omitted in the record inside the
    /// document.
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
