//! The memory of the calls that the instance makes for itself.

use azureway_core::prelude::MemoryLimits;

use super::{MemoryAccount, MemoryHold};
use crate::clock::Clock;

/// Bounds the memory of the instance's own calls to backend servers, apart from that of callers: a server
/// that sends too much must not take the room of requests, nor a crowd of callers that of the calls. Clones
/// share the bound. The default one has none.
#[derive(Clone, Debug, Default)]
pub struct CallMemory {
    account: Option<MemoryAccount>,
}

/// The part of the memory that is reserved for short answers, such as those to orders.
const RESERVE_DIVISOR: usize = 8;

impl CallMemory {
    /// Creates an unused memory of `bytes`.
    pub fn new(bytes: usize, clock: Clock) -> Self {
        let limits = MemoryLimits {
            total: bytes,
            reserve: bytes / RESERVE_DIVISOR,
            connections: 0,
        };
        Self {
            account: Some(MemoryAccount::new(limits, clock)),
        }
    }

    /// Returns the holder of a call that has read nothing.
    pub fn open(&self) -> MemoryHold {
        let account = self.account.as_ref();
        account.map_or_else(MemoryHold::default, MemoryAccount::open)
    }

    /// Returns the memory, the part of it that is held, both in bytes, and the number of times that there was
    /// no room.
    pub fn usage(&self) -> (usize, usize, u64) {
        let account = self.account.as_ref();
        account.map_or((usize::MAX, 0, 0), |a| {
            let (held, _, refused) = a.usage();
            (a.limits().total, held, refused)
        })
    }
}
