//! The trait of the platform's object API, which tests implement with an in-memory fake.

use std::time::Duration;

use azureway_core::prelude::{Error, StoreEra};
use azureway_wire::object::{ObjectBody, ObjectList};

use super::Put;

/// The platform's object API: versioned objects with conditional writes and watches.
///
/// Versions are valid in the era of the store in which they were read. The first call that is
/// answered in another era fails with an error of the kind `Restored`, and later ones are answered
/// in the new era.
pub trait ObjectApi {
    /// Returns the era of the store's answers, if the platform reports eras.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer, rejects the call, limits the rate of calls
    /// or was restored.
    fn get(&self, kind: &str, name: &str) -> Result<Option<ObjectBody>, Error>;

    /// Returns all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer, rejects the call, limits the rate of calls
    /// or was restored.
    fn list(&self, kind: &str) -> Result<ObjectList, Error>;

    /// Returns all objects of a kind, as they were up to some seconds ago. A platform may charge less for
    /// this than for [`list`](Self::list).
    ///
    /// # Errors
    ///
    /// Returns the errors of [`list`](Self::list).
    fn list_stale(&self, kind: &str) -> Result<ObjectList, Error> {
        self.list(kind)
    }

    /// Writes an object if it has the expected version, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind `Conflict` if the object has another version. After any other
    /// error the object may or may not have been written.
    fn put(&self, put: &Put<'_>) -> Result<u64, Error>;

    /// Deletes an object if it has the expected version.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind `Conflict` if the object has another version or does not
    /// exist. After any other error the object may or may not have been deleted.
    fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<(), Error>;

    /// Waits up to `wait` for changes of a kind after version `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer, rejects the call, limits the rate of calls
    /// or was restored.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<ObjectList, Error>;
}
