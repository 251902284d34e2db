//! The command line: the definitions of the commands, and the dispatch to the code that runs them.

mod account_command;
mod admin_command;
mod arguments;
mod config_command;
mod root_command;
mod runner;

pub use root_command::command;
pub use runner::run;
