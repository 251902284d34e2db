//! The operators' command line of azureway.
//!
//! [`run`] takes the words of a command line and a place to print to, so that a test drives
//! the commands as the program does. [`Exit`] lists the exit codes.

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
