//! The entry daemon of azureway, which routes requests from callers to backend servers.
//!
//! Every duty has a thread of its own, and bounded rings connect them. A request passes through
//! `caller` (its connection), `admit` (authentication and parsing), `decide` (routing by the
//! core) and `relay` (the backend server). The answer returns from the relay to the connection
//! through a ring that belongs to that attempt alone.

pub mod admin;
pub mod admit;
pub mod caller;
pub mod claim;
pub mod clock;
pub mod daemon;
pub mod decide;
pub mod exchange;
pub mod feed;
pub mod logs;
pub mod memory;
pub mod meter;
pub mod order;
pub mod peer;
pub mod program;
pub mod quarantine;
pub mod relay;
pub mod retirement;
pub mod routed;
pub mod runtime;
pub mod site;
pub mod watch;
pub mod zone;
