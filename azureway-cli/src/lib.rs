//! The operators' command line of azureway.
//!
//! [`run`] takes a parsed command line and a writer for its output, so that tests run the commands
//! in the same way as the program. [`Exit`] lists the exit codes.

mod account;
mod admin;
mod app;
mod config;
mod exit;
mod failure;
mod printer;
mod random;
mod report;
mod session;
mod store;

pub use app::{command, run};
pub use exit::Exit;
pub use failure::Failure;
