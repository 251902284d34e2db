//! The answer to a list or watch request.

use serde::{Deserialize, Serialize};

use super::ObjectBody;

/// The objects that a list or watch request returns, and the version up to which they are
/// complete.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ObjectList {
    /// The version from which the next watch request continues.
    pub version: u64,
    /// The objects.
    pub objects: Vec<ObjectBody>,
}

impl ObjectList {
    /// Returns the size of all values, in bytes.
    pub fn value_size(&self) -> usize {
        self.objects.iter().map(|o| o.value.len()).sum()
    }

    /// Empties the largest values until all together have at most `max` bytes, so that a few large ones do
    /// not take the room of all others. Returns the names of their objects and their sizes in bytes.
    pub fn drop_largest(&mut self, max: usize) -> Vec<(String, usize)> {
        let (mut size, mut dropped) = (self.value_size(), Vec::new());
        while size > max {
            let largest = self.objects.iter_mut().max_by_key(|o| o.value.len());
            let Some(object) = largest.filter(|o| !o.value.is_empty()) else {
                break;
            };
            let value = std::mem::take(&mut object.value);
            size -= value.len();
            dropped.push((object.name.clone(), value.len()));
        }
        dropped
    }
}
