//! The record of one block in the cache index.

use smallvec::SmallVec;

/// The position of a server in the index and the generation in which the record was made.
pub type Holder = (u32, u32);

/// The backend servers that are believed to hold one block.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    /// All servers that are believed to hold the block.
    pub all: SmallVec<[Holder; 2]>,
    /// The servers among them whose own cache events confirm it.
    pub confirmed: SmallVec<[Holder; 2]>,
    /// Whether the block was looked up or stored again since the sweep last visited it.
    pub referenced: bool,
}

impl Holders {
    /// Adds a holder, replacing an older record of the same server. `confirmed` tells whether the
    /// server's own cache events report the block.
    pub fn add(&mut self, holder: Holder, confirmed: bool) {
        replace_or_push(&mut self.all, holder);
        if confirmed {
            replace_or_push(&mut self.confirmed, holder);
        }
        self.referenced = true;
    }

    /// Removes the server at position `server`.
    pub fn remove(&mut self, server: u32) {
        self.all.retain(|h| h.0 != server);
        self.confirmed.retain(|h| h.0 != server);
    }
}

fn replace_or_push(list: &mut SmallVec<[Holder; 2]>, holder: Holder) {
    match list.iter_mut().find(|h| h.0 == holder.0) {
        Some(old) => *old = holder,
        None => list.push(holder),
    }
}
