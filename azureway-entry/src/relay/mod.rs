//! The relaying duty: one thread for each try at a backend server.

mod launcher;
mod relay_try;
mod trouble;

pub use launcher::Launcher;
pub use relay_try::RelayTry;
pub use trouble::Trouble;
