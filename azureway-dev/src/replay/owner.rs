//! Tells an engine's tasks for the replayed entry from those for other entries.

use azureway_core::prelude::Attempt;

/// The receiver of the tokens of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The replayed entry, for one of its attempts.
    Entry(Attempt),
    /// Another entry.
    Peer,
}
