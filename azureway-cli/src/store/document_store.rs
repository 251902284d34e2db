//! Access to the document and its audit trail in the platform, for all commands.

use azureway_core::config::{
    AcceptedChange, ChangeMetadata, ChangeTime, ConditionalWrite, EditReply, History, Snapshot,
};
use azureway_core::prelude::{ConfigVersion, Error, ErrorKind, Step};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::change::{
    ChangeBody, DOCUMENT_KIND, DOCUMENT_NAME, StoredDocument, VALUE_MAX, archive_kind,
};

/// Stores the document and its audit trail as objects of the platform.
#[derive(Debug)]
pub(crate) struct DocumentStore<A> {
    api: A,
}

/// The decimal digits of the largest version. A record grows by at most this many bytes once its
/// version is known.
const MAX_VERSION_DIGITS: usize = 20;

impl<A: ObjectApi> DocumentStore<A> {
    pub(crate) const fn new(api: A) -> Self {
        Self { api }
    }

    /// Reads the document. Returns the empty snapshot if none exists.
    pub(crate) fn read(&self) -> Result<Snapshot, Error> {
        let object = self.api.get(DOCUMENT_KIND, DOCUMENT_NAME)?;
        Ok(object.map_or_else(Snapshot::default, |o| {
            StoredDocument::parse(&o.value).snapshot(ConfigVersion::new(o.version))
        }))
    }

    /// Creates the archived record of a change, unless it exists already.
    pub(crate) fn archive(&self, change: &AcceptedChange) -> Result<(), Error> {
        let metadata = &change.record.metadata;
        let value = serde_json::to_string(&ChangeBody::from(change));
        let value = value.map_err(|e| Error::new(ErrorKind::Invalid, Step::new("archive"), e))?;
        let written = self.api.put(&Put {
            kind: &archive_kind(metadata.time),
            name: metadata.id.as_str(),
            value: &value,
            expected: 0,
        });
        match written {
            Err(e) if e.kind() != ErrorKind::Conflict => Err(e),
            _ => Ok(()),
        }
    }

    /// Writes the document if it still has the expected version.
    pub(crate) fn write(&self, write: &ConditionalWrite) -> EditReply {
        let value = StoredDocument::encode(&write.record, &write.text);
        // The next change must archive this record first, so a record too large for the archive
        // would block every later change.
        let archived = serde_json::to_vec(&ChangeBody::new(&write.record)).map_or(0, |v| v.len());
        let bytes = value.len().max(archived + MAX_VERSION_DIGITS);
        if bytes > VALUE_MAX {
            return EditReply::TooLarge(bytes);
        }
        let written = self.api.put(&Put {
            kind: DOCUMENT_KIND,
            name: DOCUMENT_NAME,
            value: &value,
            expected: write.expected.get(),
        });
        match written {
            Ok(version) => EditReply::Written(ConfigVersion::new(version)),
            Err(e) if e.kind() == ErrorKind::Conflict => EditReply::VersionMismatch,
            Err(_) => EditReply::NoAnswer,
        }
    }

    /// Returns the version that a change created, or `None` if the change is not in the archive.
    pub(crate) fn find(&self, metadata: &ChangeMetadata) -> Result<Option<ConfigVersion>, Error> {
        let object = self
            .api
            .get(&archive_kind(metadata.time), metadata.id.as_str())?;
        let change = object.map(|o| decode(&o.value)).transpose()?;
        Ok(change.map(|c| c.version))
    }

    /// Adds the archived changes of the day of `time` to `history`.
    pub(crate) fn add_day(&self, time: ChangeTime, history: &mut History) -> Result<(), Error> {
        for object in self.api.list(&archive_kind(time))?.objects {
            history.insert(decode(&object.value)?);
        }
        Ok(())
    }
}

/// Parses an archived record.
fn decode(value: &str) -> Result<AcceptedChange, Error> {
    let body: ChangeBody = serde_json::from_str(value)
        .map_err(|e| Error::new(ErrorKind::Protocol, Step::new("read change"), e))?;
    Ok(body.into())
}
