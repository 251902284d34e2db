//! The audit record of one change, in JSON.

use azureway_core::config::{
    AcceptedChange, ChangeId, ChangeMetadata, ChangeRecord, ChangeTime, Delta, TeamId,
};
use azureway_core::prelude::ConfigVersion;
use serde::{Deserialize, Serialize};

use super::SectionBody;

/// The record of a change to the operators' document, as archived and displayed.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ChangeBody {
    /// The identifier of the change.
    pub id: Box<str>,
    /// The version that the change created; 0 in the record inside the document.
    #[serde(default)]
    pub version: u64,
    /// The version that the change was made to.
    pub from: u64,
    /// The time of the change, in seconds since 1970-01-01 UTC.
    pub time: u64,
    /// The person who made the change.
    pub author: Box<str>,
    /// The team that the person acted for.
    pub team: Box<str>,
    /// The reason for the change.
    pub reason: Box<str>,
    /// The effect of the change on each section.
    pub sections: Vec<SectionBody>,
}

impl ChangeBody {
    /// Creates the body of a record whose version is not known yet and is set to 0.
    pub fn new(record: &ChangeRecord) -> Self {
        let metadata = &record.metadata;
        Self {
            id: metadata.id.as_str().into(),
            version: 0,
            from: record.from.get(),
            time: metadata.time.get(),
            author: metadata.author.clone(),
            team: metadata.team.as_str().into(),
            reason: metadata.reason.clone(),
            sections: record.delta.changes().iter().map(Into::into).collect(),
        }
    }
}

impl From<&AcceptedChange> for ChangeBody {
    fn from(change: &AcceptedChange) -> Self {
        let version = change.version.get();
        Self {
            version,
            ..Self::new(&change.record)
        }
    }
}

impl From<ChangeBody> for ChangeRecord {
    fn from(body: ChangeBody) -> Self {
        let (id, team) = (ChangeId::new(&body.id), TeamId::new(&body.team));
        let metadata = ChangeMetadata::new(id, &body.author, team, ChangeTime::new(body.time));
        let changes = body.sections.into_iter().map(Into::into);
        Self {
            metadata: metadata.with_reason(&body.reason),
            from: ConfigVersion::new(body.from),
            delta: Delta::new(changes.collect()),
        }
    }
}

impl From<ChangeBody> for AcceptedChange {
    fn from(body: ChangeBody) -> Self {
        let version = ConfigVersion::new(body.version);
        let record = body.into();
        Self { version, record }
    }
}
