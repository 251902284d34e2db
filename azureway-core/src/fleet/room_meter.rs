//! Estimates the memory of a backend server that requests occupy.

use smallvec::SmallVec;

use super::UsedBlock;
use crate::cache::Block;
use crate::domain::{Request, TokenCount};

/// The memory that requests occupy at one backend server: what this entry sent there exactly, and an
/// estimate for the requests of the other entries.
///
/// A server that runs out of memory preempts a running request, whose work is lost. Cached blocks that
/// no request uses yield, so they do not count.
#[derive(Clone, Debug)]
pub struct RoomMeter {
    capacity: Option<TokenCount>,
    own: TokenCount,
    /// The prompt blocks that this entry's requests use. Requests with a block in common share it.
    used: SmallVec<[UsedBlock; 4]>,
}

/// The unit in which a server allocates memory, in tokens.
const ALLOCATION_UNIT: u64 = 16;
/// The percentage of a server's memory that drafting requests leave free for urgent ones.
const URGENT_RESERVE: u64 = 25;

impl RoomMeter {
    /// Creates the meter of a server without requests. A server without a known capacity has room for
    /// every request.
    pub fn new(capacity: Option<TokenCount>) -> Self {
        Self {
            capacity,
            own: TokenCount::ZERO,
            used: SmallVec::new(),
        }
    }

    /// Sets the tokens that the memory of the server holds.
    pub const fn set_capacity(&mut self, capacity: Option<TokenCount>) {
        self.capacity = capacity;
    }

    /// Returns the tokens that the memory of the server holds, if they are known.
    pub const fn capacity(&self) -> Option<TokenCount> {
        self.capacity
    }

    /// Records that a request of this entry was sent.
    pub fn begin(&mut self, request: &Request) {
        self.own += allocated(request.expected_output);
        for block in request.prompt.blocks() {
            match self.used.iter_mut().find(|u| u.key == block.key) {
                Some(used) => used.requests += 1,
                None => {
                    self.own += allocated(block.tokens);
                    self.used.push(UsedBlock::new(block.key));
                }
            }
        }
    }

    /// Records that a request of this entry has ended.
    pub fn end(&mut self, request: &Request) {
        let mut freed = allocated(request.expected_output);
        for block in request.prompt.blocks() {
            let found = self.used.iter().position(|u| u.key == block.key);
            let Some(index) = found else { continue };
            self.used[index].requests -= 1;
            if self.used[index].requests == 0 {
                self.used.swap_remove(index);
                freed += allocated(block.tokens);
            }
        }
        self.own = self.own.saturating_sub(freed);
    }

    /// Returns the tokens that this entry's requests occupy at their end.
    pub const fn own(&self) -> TokenCount {
        self.own
    }

    /// Returns the tokens that one more request occupies at its end, beyond the blocks that it shares
    /// with this entry's requests.
    pub fn added_by(&self, request: &Request) -> TokenCount {
        let unused = |b: &&Block| self.used.iter().all(|u| u.key != b.key);
        let blocks = request.prompt.blocks().iter().filter(unused);
        let prompt: TokenCount = blocks.map(|b| allocated(b.tokens)).sum();
        prompt + allocated(request.expected_output)
    }

    /// Returns whether the prompt of a request fits into the memory of an idle server.
    pub fn can_hold(&self, request: &Request) -> bool {
        self.capacity
            .is_none_or(|capacity| request.prompt.tokens() < capacity)
    }

    /// Returns whether there is room for one more request beside this entry's requests and `others`
    /// tokens of other entries. With `reserved`, a part of the memory is left free.
    ///
    /// A server without requests of this entry has room for each one that exceeds the usable part and
    /// that [`RoomMeter::can_hold`]. It would wait for ever beside those of other entries.
    pub fn allows(&self, request: &Request, others: TokenCount, reserved: bool) -> bool {
        let Some(capacity) = self.capacity else {
            return true;
        };
        let reserve = if reserved { URGENT_RESERVE } else { 0 };
        let usable = capacity.get() - capacity.get().saturating_mul(reserve) / 100;
        let added = self.added_by(request);
        if self.own == TokenCount::ZERO && (others == TokenCount::ZERO || added.get() > usable) {
            return self.can_hold(request);
        }
        (self.own + others + added).get() <= usable
    }
}

/// Returns the memory that `tokens` tokens occupy.
const fn allocated(tokens: TokenCount) -> TokenCount {
    TokenCount::new(
        tokens.get().saturating_add(ALLOCATION_UNIT - 1) / ALLOCATION_UNIT * ALLOCATION_UNIT,
    )
}
