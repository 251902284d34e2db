//! azureway: a router for language-model traffic with long shared prompts.
//!
//! This crate is the library: the coordination parts from which the daemons are built,
//! for others to embed. It has no I/O, no clock and no thread. Events and the time go in,
//! actions come out, and the embedder carries them out.
//!
//! # Usage
//!
//! ```
//! use azureway::prelude::*;
//!
//! let account = AccountId::new("wax-desk");
//! let service = ServiceId::new("advice");
//! let salt = Salt::new(&account, &service, WeightsVersion::new(1));
//! let chain = BlockChain::new(salt, [b"house rules".as_slice(), b"shop".as_slice()]);
//! assert_eq!(chain.blocks().len(), 2);
//! ```
//!
//! # Crates
//!
//! * `azureway-core`: decisions and state, re-exported here;
//! * `azureway-config`: settings of a daemon and the operators' document, in INI;
//! * `azureway-wire`: messages, with conversions from and to the types of the core;
//! * `azureway-entry`: the daemon that stands between callers and backend servers;
//! * `azureway-cli`: the operators' command line;
//! * `azureway-dev`: stand-ins, replay and benches, never linked into a daemon.

pub use azureway_core::*;
