//! Simulated peers of azureway, the replay and benchmarks, for tests and developers. No daemon
//! links this crate.

pub mod bench;
pub mod bench_relay;
pub mod crowd;
pub mod engine;
pub mod generate;
pub mod http;
pub mod outcome;
pub mod plain;
pub mod platform;
pub mod replay;
pub mod serve;
pub mod slopes;
pub mod trace;
