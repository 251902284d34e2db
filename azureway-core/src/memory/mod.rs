//! The memory that a process holds for its callers and backend servers: how much there is, who holds
//! it, and who is closed when it runs out. What its own work may take has limits beside these.

mod holder;
mod holder_id;
mod memory_ledger;
mod memory_limits;
mod own_limits;

use holder::Holder;
pub use holder_id::HolderId;
pub use memory_ledger::MemoryLedger;
pub use memory_limits::MemoryLimits;
pub use own_limits::OwnLimits;
