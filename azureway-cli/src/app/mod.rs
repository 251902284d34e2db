//! The definition of the command line and the dispatch to its commands.

mod account_command;
mod admin_command;
mod arguments;
mod config_command;
mod root_command;
mod runner;

pub use root_command::command;
pub use runner::run;
