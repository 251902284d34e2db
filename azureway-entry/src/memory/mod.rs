//! The accounts of the memory that the process holds for callers and backend servers, and for its own calls.
//!
//! The decisions are those of [`MemoryLedger`](azureway_core::prelude::MemoryLedger). This module waits
//! for room and closes the callers that it chooses.

mod account_state;
mod allocator;
mod body_buffer;
mod call_memory;
mod held_reader;
mod held_writer;
mod memory_account;
mod memory_hold;

use account_state::AccountState;
pub use allocator::limit_allocator;
pub use body_buffer::BodyBuffer;
pub use call_memory::CallMemory;
pub use held_reader::HeldReader;
pub use held_writer::HeldWriter;
pub use memory_account::MemoryAccount;
pub use memory_hold::MemoryHold;

/// The memory of a caller's connection apart from bodies, in bytes: the used part of its thread's stack,
/// its socket, and the head of a request.
pub const CONNECTION_COST: usize = 16 * 1024;
/// The memory of an attempt apart from bodies, in bytes: the used part of its thread's stack, its socket
/// and its buffers.
pub const ATTEMPT_COST: usize = 32 * 1024;
/// The memory of a chunk of an answer apart from its bytes, in bytes.
pub const CHUNK_COST: usize = 128;
