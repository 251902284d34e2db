//! The owner of an engine's task: the replayed entry or another one.

use azureway_core::prelude::Attempt;

/// The receiver of the tokens of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The replayed entry, for one of its attempts.
    Entry(Attempt),
    /// Another entry.
    Peer,
}
