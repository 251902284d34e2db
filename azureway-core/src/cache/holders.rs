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

/// The memory of an allocation apart from its content, in bytes.
const ALLOCATION_COST: usize = 16;

impl Holders {
    /// Returns the memory that the lists take outside of this record, in bytes.
    pub fn heap_size(&self) -> usize {
        let size = |list: &SmallVec<[Holder; 2]>| match list.spilled() {
            true => list.capacity() * size_of::<Holder>() + ALLOCATION_COST,
            false => 0,
        };
        size(&self.all) + size(&self.confirmed)
    }

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
        self.retain(|h| h.0 != server);
    }

    /// Keeps the holders for which `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&Holder) -> bool) {
        for list in [&mut self.all, &mut self.confirmed] {
            list.retain(|h| keep(h));
            list.shrink_to_fit();
        }
    }
}

fn replace_or_push(list: &mut SmallVec<[Holder; 2]>, holder: Holder) {
    match list.iter_mut().find(|h| h.0 == holder.0) {
        Some(old) => *old = holder,
        None => list.push(holder),
    }
}
