//! How an object API spells its calls and answers.

use std::time::Duration;

use azureway_wire::object::{ObjectBody, ObjectList};

use super::{ObjectCall, Put};

/// How an object API spells its calls and answers. Statuses mean the same in every form.
pub trait ObjectCodec: Clone {
    /// The media type of bodies.
    const CONTENT_TYPE: &'static str;

    /// Returns the call that reads an object.
    fn get(&self, kind: &str, name: &str) -> ObjectCall;

    /// Returns the call that lists the objects of a kind whose names come after `after`.
    fn list(&self, kind: &str, after: Option<&str>) -> ObjectCall;

    /// Returns the call that writes an object under its condition.
    fn put(&self, put: &Put<'_>) -> ObjectCall;

    /// Returns the call that deletes an object under its condition.
    fn delete(&self, kind: &str, name: &str, expected: u64) -> ObjectCall;

    /// Returns the call that waits for changes after a version.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> ObjectCall;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no object.
    fn read_object(&self, bytes: &[u8]) -> Result<ObjectBody, serde_json::Error>;

    /// Reads a part of a list, and whether there is more of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no list.
    fn read_list(&self, bytes: &[u8]) -> Result<(ObjectList, bool), serde_json::Error>;

    /// Reads changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no changes.
    fn read_changes(&self, bytes: &[u8]) -> Result<ObjectList, serde_json::Error>;
}
