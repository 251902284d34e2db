//! The keys of cached prompt blocks and the index of the servers that hold them.

mod block;
mod block_key;
mod cache_op;
mod cache_update;
mod event_cursor;
mod holders;
mod index;
mod prompt_blocks;
mod salt;
mod tracked_server;

pub use block::Block;
pub use block_key::BlockKey;
pub use cache_op::CacheOp;
pub use cache_update::CacheUpdate;
pub use event_cursor::EventCursor;
pub use holders::{Holder, Holders};
pub use index::CacheIndex;
pub use prompt_blocks::PromptBlocks;
pub use salt::Salt;
pub use tracked_server::TrackedServer;
