//! The commands and how they are reached.

mod account_command;
mod admin_command;
mod arguments;
mod config_command;
mod root_command;
mod runner;

pub use root_command::command;
pub use runner::run;
