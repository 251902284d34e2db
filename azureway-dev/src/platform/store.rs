//! The versioned object store behind the simulated platform.

use std::collections::BTreeMap;

use azureway_core::prelude::StoreEra;
use azureway_wire::object::{ObjectBody, ObjectList};

/// The objects of the platform, which share one version counter. A deleted object stays as a
/// tombstone.
#[derive(Clone, Debug, Default)]
pub struct Store {
    era: StoreEra,
    version: u64,
    /// The objects by kind and name.
    objects: BTreeMap<(String, String), ObjectBody>,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the era, which each restore increases.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the version of the last change.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the objects and the version counter with those of a copy, and begins the next era.
    pub fn restore(&mut self, copy: Self) {
        let era = self.era.next();
        *self = Self { era, ..copy };
    }

    /// Returns an object, or `None` if it does not exist or is deleted.
    pub fn get(&self, kind: &str, name: &str) -> Option<&ObjectBody> {
        self.objects
            .get(&(kind.to_owned(), name.to_owned()))
            .filter(|o| !o.deleted)
    }

    /// Returns the objects of a kind that changed after version `after`, deleted ones included. If
    /// `after` is 0, returns all that exist.
    pub fn list(&self, kind: &str, after: u64) -> ObjectList {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let changed = of_kind.filter(|(_, o)| o.version > after && (after > 0 || !o.deleted));
        ObjectList {
            version: self.version,
            objects: changed.map(|(_, o)| o.clone()).collect(),
        }
    }

    /// Writes an object if its version is `expected`, where 0 means that it does not exist. Returns
    /// the written object, or `None` if the version differs.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: String,
        expected: u64,
    ) -> Option<ObjectBody> {
        let version = self.get(kind, name).map_or(0, |o| o.version);
        (version == expected).then(|| self.write(kind, name, value, false))
    }

    /// Deletes an object if its version is `expected`. Returns its tombstone, or `None` if the
    /// version differs or there is no such object.
    pub fn delete(&mut self, kind: &str, name: &str, expected: u64) -> Option<ObjectBody> {
        let object = self.get(kind, name)?;
        (object.version == expected).then(|| self.write(kind, name, String::new(), true))
    }

    fn write(&mut self, kind: &str, name: &str, value: String, deleted: bool) -> ObjectBody {
        self.version += 1;
        let object = ObjectBody {
            name: name.to_owned(),
            version: self.version,
            value,
            deleted,
        };
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        object
    }
}
