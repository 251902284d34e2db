//! The holders of memory, and the choice of the one that is closed when it runs out.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{Holder, HolderId, MemoryLimits};
use crate::domain::Timestamp;

/// Accounts for the memory that a process holds for others.
///
/// When it runs out, the caller that has taken nothing for the longest time is closed. A caller that
/// takes a piece of its answer at least once in [`MIN_STALL`](Self::MIN_STALL), or that little waits for,
/// is not.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    holders: BTreeMap<HolderId, Holder>,
    held: usize,
    /// The memory that is released once the callers that are being closed are gone, in bytes.
    closing: usize,
    last: u64,
}

impl MemoryLedger {
    /// The size up to which a holder may use the reserve, in bytes.
    pub const SMALL: usize = 64 * 1024;
    /// The unread part of an answer from which on its caller counts as behind, in bytes.
    pub const BEHIND: usize = 64 * 1024;
    /// The time for which a caller must have taken nothing before it may be closed.
    pub const MIN_STALL: Duration = Duration::from_secs(1);

    /// Creates a ledger without holders.
    pub const fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            held: 0,
            closing: 0,
            last: 0,
        }
    }

    /// Returns the limits.
    pub const fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns the memory that is held, in bytes.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the memory that one holder has, in bytes.
    pub fn held_by(&self, id: HolderId) -> usize {
        self.holders.get(&id).map_or(0, |h| h.held)
    }

    /// Adds a holder of nothing.
    pub fn open(&mut self) -> HolderId {
        self.last += 1;
        let id = HolderId(self.last);
        self.holders.insert(id, Holder::new(0));
        id
    }

    /// Removes a holder with all that it holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.held;
            if holder.closing {
                self.closing = self.closing.saturating_sub(holder.held);
            }
        }
    }

    /// Adds `bytes` to what a holder has. Returns `false` if there is no room for them, or if the holder
    /// is being closed.
    #[must_use]
    pub fn grow(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&id).filter(|h| !h.closing) else {
            return false;
        };
        let size = holder.held.saturating_add(bytes);
        let reserve = match size <= Self::SMALL {
            true => 0,
            false => self.limits.reserve,
        };
        let total = self.held.saturating_add(bytes);
        let granted = total <= self.limits.total - reserve;
        if granted {
            holder.held = size;
            self.held = total;
        }
        granted
    }

    /// Removes `bytes` from what a holder has.
    pub fn shrink(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.held);
            holder.held -= bytes;
            self.held -= bytes;
            if holder.closing {
                self.closing = self.closing.saturating_sub(bytes);
            }
        }
    }

    /// Records that `bytes` of an answer wait for the caller.
    pub fn queue(&mut self, id: HolderId, bytes: usize, now: Timestamp) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.unread == 0 {
                holder.stalled = now;
            }
            holder.unread = holder.unread.saturating_add(bytes);
        }
    }

    /// Records that the caller has taken `bytes` of its answer.
    pub fn take(&mut self, id: HolderId, bytes: usize, now: Timestamp) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unread = holder.unread.saturating_sub(bytes);
            holder.stalled = now;
        }
    }

    /// Chooses the caller to close so that `bytes` more fit, and records that it is being closed. Returns
    /// `None` if enough is released already, or if no caller is behind.
    pub fn close_slowest(&mut self, bytes: usize, now: Timestamp) -> Option<HolderId> {
        if self.closing >= bytes {
            return None;
        }
        let behind = self.holders.iter().filter_map(|(id, h)| {
            let stall = h.stall(Self::BEHIND, now)?;
            (stall >= Self::MIN_STALL).then_some((stall, h.unread, Reverse(*id)))
        });
        let (_, _, Reverse(id)) = behind.max()?;
        let holder = self.holders.get_mut(&id)?;
        holder.closing = true;
        self.closing += holder.held;
        Some(id)
    }

    /// Returns whether a holder's caller is being closed.
    pub fn is_closing(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_none_or(|h| h.closing)
    }

    /// Returns the time until some caller may be closed so that `bytes` more fit. Returns `None` if enough
    /// is released already, or if no caller is behind.
    pub fn next_stall(&self, bytes: usize, now: Timestamp) -> Option<Duration> {
        if self.closing >= bytes {
            return None;
        }
        let stalls = self.holders.values();
        let longest = stalls.filter_map(|h| h.stall(Self::BEHIND, now)).max()?;
        Some(Self::MIN_STALL.saturating_sub(longest))
    }
}
