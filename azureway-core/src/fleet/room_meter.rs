//! Estimates the memory of a backend server that requests occupy.

use crate::domain::TokenCount;

/// The memory that requests occupy at one backend server: what this entry sent there, and an
/// estimate for the requests of the other entries.
///
/// A server that runs out of memory preempts a running request, whose work is lost.
#[derive(Clone, Copy, Debug)]
pub struct RoomMeter {
    capacity: Option<TokenCount>,
    own: TokenCount,
    requests: u32,
}

impl RoomMeter {
    /// Creates the meter of a server without requests. A server without a known capacity has room for
    /// every request.
    pub const fn new(capacity: Option<TokenCount>) -> Self {
        Self {
            capacity,
            own: TokenCount::ZERO,
            requests: 0,
        }
    }

    /// Sets the tokens that the memory of the server holds.
    pub const fn set_capacity(&mut self, capacity: Option<TokenCount>) {
        self.capacity = capacity;
    }

    /// Records that a request of this entry was sent, which occupies `footprint` at its end.
    pub fn begin(&mut self, footprint: TokenCount) {
        self.own += footprint;
        self.requests += 1;
    }

    /// Records that a request of this entry has ended.
    pub fn end(&mut self, footprint: TokenCount) {
        self.own = self.own.saturating_sub(footprint);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Returns the tokens that this entry's requests occupy at their end.
    pub const fn own(&self) -> TokenCount {
        self.own
    }

    /// Returns whether this entry's requests leave room for one more of `footprint`.
    pub fn allows(&self, footprint: TokenCount) -> bool {
        self.capacity
            .is_none_or(|capacity| self.own + footprint <= capacity)
    }
}
