//! The backend servers that are believed to hold one block.

use smallvec::SmallVec;

/// A server's place in the index and the generation that the entry was made in.
pub type Holder = (u32, u32);

/// The backend servers that are believed to hold one block.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    /// The servers.
    pub list: SmallVec<[Holder; 2]>,
    /// Those of them whose own news say so.
    pub confirmed: SmallVec<[Holder; 2]>,
    /// Whether the block was looked up or stored again since the sweep last came by.
    pub used: bool,
}

impl Holders {
    /// Adds a holder in place of an older entry for the same server. `confirmed` says whether the
    /// server's own news name it.
    pub fn add(&mut self, holder: Holder, confirmed: bool) {
        put(&mut self.list, holder);
        if confirmed {
            put(&mut self.confirmed, holder);
        }
        self.used = true;
    }

    /// Removes a server.
    pub fn remove(&mut self, place: u32) {
        self.list.retain(|h| h.0 != place);
        self.confirmed.retain(|h| h.0 != place);
    }
}

fn put(list: &mut SmallVec<[Holder; 2]>, holder: Holder) {
    match list.iter_mut().find(|h| h.0 == holder.0) {
        Some(old) => *old = holder,
        None => list.push(holder),
    }
}
