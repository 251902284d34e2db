//! The objects that could not be decoded, so that each is logged once.

use std::collections::BTreeMap;

/// The objects whose latest version could not be decoded, each with the error.
#[derive(Debug, Default)]
pub struct RejectedObjects {
    errors: BTreeMap<Box<str>, Box<str>>,
}

/// The largest number of objects that are kept. Further ones count as new each time.
const MAX_OBJECTS: usize = 1_024;

impl RejectedObjects {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an object could not be decoded. Returns whether that is new: it could be
    /// decoded before, or failed with another error.
    pub fn insert(&mut self, name: &str, error: &str) -> bool {
        if self.errors.get(name).is_some_and(|e| **e == *error) {
            return false;
        }
        if self.errors.len() < MAX_OBJECTS || self.errors.contains_key(name) {
            self.errors.insert(name.into(), error.into());
        }
        true
    }

    /// Records that an object can be decoded or is gone.
    pub fn remove(&mut self, name: &str) {
        self.errors.remove(name);
    }

    /// Returns whether the latest version of an object could not be decoded.
    pub fn contains(&self, name: &str) -> bool {
        self.errors.contains_key(name)
    }
}
