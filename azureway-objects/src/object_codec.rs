//! The trait that adapts the HTTP client to a platform's URLs and bodies.

use std::time::Duration;

use azureway_wire::object::{ObjectBody, ObjectList};

use super::{ObjectCall, Put};

/// The HTTP encoding of an object API's calls and answers. The meaning of statuses does not depend
/// on the codec; [`HttpObjects`](crate::HttpObjects) interprets them.
pub trait ObjectCodec: Clone {
    /// The media type of request bodies.
    const CONTENT_TYPE: &'static str;
    /// The name of the header that holds the store's era, in lower case.
    const ERA_HEADER: &'static str;

    /// Returns the call that reads an object.
    fn get(&self, kind: &str, name: &str) -> ObjectCall;

    /// Returns the call that lists the objects of a kind, or only those whose names sort after
    /// `after`. With `stale`, they may be some seconds old.
    fn list(&self, kind: &str, after: Option<&str>, stale: bool) -> ObjectCall;

    /// Returns the call that writes an object if it has the expected version.
    fn put(&self, put: &Put<'_>) -> ObjectCall;

    /// Returns the call that deletes an object if it has version `expected`.
    fn delete(&self, kind: &str, name: &str, expected: u64) -> ObjectCall;

    /// Returns the call that waits up to `wait` for changes after version `after`.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> ObjectCall;

    /// Decodes an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid object.
    fn read_object(&self, bytes: &[u8]) -> Result<ObjectBody, serde_json::Error>;

    /// Decodes a page of a list. Returns it with whether more pages follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid list.
    fn read_list(&self, bytes: &[u8]) -> Result<(ObjectList, bool), serde_json::Error>;

    /// Decodes the changes that a watch returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid list of changes.
    fn read_changes(&self, bytes: &[u8]) -> Result<ObjectList, serde_json::Error>;
}
