//! When to ask which peers for all news.

use super::Refresh;
use crate::domain::Instance;

/// When to ask which peers for all news: apart for those of the zone and those of others,
/// whose beliefs may differ while those of the zone agree.
#[derive(Clone, Debug, Default)]
pub struct Refreshes {
    near: Refresh,
    far: Refresh,
}

impl Refreshes {
    /// Creates the state of an instance that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks for all news as soon as it may.
    pub const fn want(&mut self) {
        self.near.want();
        self.far.want();
    }

    /// Returns when `me` asks `peer`.
    pub fn of(&mut self, me: &Instance, peer: &Instance) -> &mut Refresh {
        if me.zone == peer.zone {
            &mut self.near
        } else {
            &mut self.far
        }
    }
}
