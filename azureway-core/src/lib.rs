//! The decisions and the state of azureway.
//!
//! This crate makes every decision of azureway and carries none of them out: it performs no
//! I/O, reads no clock and starts no thread. [`router::Router`] takes an [`event::Event`] and
//! the time at which it was observed, and appends [`event::Action`]s to a buffer. The driver,
//! such as the entry daemon, a replay or a test, carries the actions out.
//!
//! # Example
//!
//! ```
//! use azureway_core::prelude::*;
//!
//! let config = RouterConfig::new(ZoneId::new("kranj-a"));
//! let mut router = Router::new(config, PrefixLoad::new());
//! let mut actions = Vec::new();
//! router.handle(Event::Tick, Timestamp::ZERO, &mut actions);
//! assert!(actions.is_empty());
//! ```

#[macro_use]
mod util;

pub mod admit;
pub mod cache;
pub mod claim;
pub mod config;
pub mod domain;
pub mod error;
pub mod event;
pub mod fleet;
pub mod lease;
pub mod member;
pub mod memory;
pub mod order;
pub mod prelude;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod router;
pub mod site;
pub mod stream;
pub mod tally;
pub mod watch;
