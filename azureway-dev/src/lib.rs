//! Stand-ins for what azureway meets, for tests, trials and benches. No daemon links this.

pub mod bench;
pub mod bench_relay;
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
