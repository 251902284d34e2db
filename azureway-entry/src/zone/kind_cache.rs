//! The objects of one kind, as this entry last read them from the platform.

use std::collections::BTreeMap;

use azureway_core::prelude::{ChangeTimes, StoreEra, Timestamp};
use azureway_wire::object::{ObjectBody, ObjectList};

use super::ReadTimes;

/// The objects of a kind with the versions at which they changed, deleted ones included.
#[derive(Clone, Debug)]
pub struct KindCache {
    era: Option<StoreEra>,
    /// The version from which on every change is known. It is `None` before the first list.
    first: Option<u64>,
    /// Whether a list was recorded, and every change since.
    listed: bool,
    version: u64,
    /// The times of the last answer.
    times: ReadTimes,
    changes: ChangeTimes,
    objects: BTreeMap<String, ObjectBody>,
    /// The largest size of all values that are kept, in bytes.
    max_size: usize,
}

/// The largest number of objects that are kept, which bounds memory as the size of their values does. Beyond
/// it callers read the platform themselves.
const MAX_OBJECTS: usize = 8_192;
/// The default of the largest size of all values that are kept, in bytes.
const MAX_SIZE: usize = 8 * 1024 * 1024;

impl Default for KindCache {
    fn default() -> Self {
        Self::new(MAX_SIZE)
    }
}

impl KindCache {
    /// Creates an empty cache that keeps values of `max_size` bytes together.
    pub fn new(max_size: usize) -> Self {
        Self {
            era: None,
            first: None,
            listed: false,
            version: 0,
            times: ReadTimes::default(),
            changes: ChangeTimes::default(),
            objects: BTreeMap::new(),
            max_size,
        }
    }

    /// Records an answer of the platform: the changes after version `after`, or a list of all objects if it
    /// is `None`.
    pub fn record(
        &mut self,
        era: Option<StoreEra>,
        after: Option<u64>,
        list: &ObjectList,
        times: ReadTimes,
    ) {
        let same_era = era == self.era;
        // An entry that has heard some changes from a reader itself does not have them here.
        let gap = after.is_none_or(|after| after > self.version);
        if !same_era || gap {
            self.objects.clear();
            // A list does not tell what was deleted before, so changes are known from here on.
            let first = after.unwrap_or(list.version);
            self.first = (same_era || after.is_none()).then_some(first);
            self.listed = after.is_none();
            self.changes = ChangeTimes::new(first);
        }
        self.era = era;
        if after.is_some() && !list.objects.is_empty() {
            self.changes.record(list.version, times.since);
        }
        for object in &list.objects {
            let mut object = object.clone();
            if object.deleted {
                object.value = String::new();
            }
            if object.deleted || object.version == 0 {
                // The version of the change is not told. It is at most that of the answer.
                object.version = list.version;
            }
            self.objects.insert(object.name.clone(), object);
        }
        let size: usize = self.objects.values().map(|o| o.value.len()).sum();
        if self.objects.len() > MAX_OBJECTS || size > self.max_size {
            self.objects.clear();
            (self.first, self.listed) = (None, false);
        }
        (self.version, self.times) = (list.version, times);
    }

    /// Returns the changes after version `after`, or `None` if they are not all known or the caller knows
    /// another era.
    pub fn changes(&self, era: Option<StoreEra>, after: u64) -> Option<ObjectList> {
        let known = self.first.is_some_and(|first| after >= first) && era == self.era;
        let changed = self.objects.values().filter(|o| o.version > after);
        known.then(|| ObjectList {
            version: self.version.max(after),
            objects: changed.cloned().collect(),
        })
    }

    /// Returns all objects, or `None` if they are not all known, or the caller knows another era or a
    /// version after that of the last answer.
    pub fn all(&self, era: Option<StoreEra>, after: u64) -> Option<ObjectList> {
        let known = self.listed && era == self.era && self.version >= after;
        let objects = self.objects.values().filter(|o| !o.deleted);
        known.then(|| ObjectList {
            version: self.version,
            objects: objects.cloned().collect(),
        })
    }

    /// Returns the earliest time at which the changes after version `after` can have happened, if it is known.
    pub fn since(&self, after: u64) -> Option<Timestamp> {
        self.changes.since(after)
    }

    /// Returns the times of the last answer.
    pub const fn times(&self) -> ReadTimes {
        self.times
    }
}
