//! Who waits for a task of an engine.

use azureway_core::prelude::Attempt;

/// Who waits for a task of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This entry, with one of its tries.
    Entry(Attempt),
    /// Another entry.
    Peer,
}
