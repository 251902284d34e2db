//! The changes of a kind of platform objects, as an entry reads them for its zone.

use std::time::Duration;

use azureway_core::prelude::Timestamp;
use azureway_wire::object::ObjectList;

/// The answer of the entry that reads the platform for a zone. Times are ages, since instances share no
/// clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChanges {
    /// The changed objects, and the version up to which they are complete.
    pub list: ObjectList,
    /// Whether the objects are all that there are, rather than those that have changed.
    pub whole: bool,
    /// The time since the platform was last known to have reported every change.
    pub age: Duration,
    /// The time for which the reader held the request.
    pub held: Duration,
    /// The longest time since the changes can have happened, if the reader knows it.
    pub changed: Option<Duration>,
    /// The time since the reader recovered from the last outage of the platform, if it saw one.
    pub recovered: Option<Duration>,
}

impl ZoneChanges {
    /// Returns the time of the answer to a request that was sent at `asked`, or an earlier one. The reader took
    /// the request after it was sent.
    pub fn answered(&self, asked: Timestamp) -> Timestamp {
        asked + self.held
    }

    /// Returns the time until which the answer to a request that was sent at `asked` tells every change.
    pub fn known_until(&self, asked: Timestamp) -> Timestamp {
        self.answered(asked).before(self.age)
    }
}
