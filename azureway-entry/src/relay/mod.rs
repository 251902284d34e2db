//! The relaying duty: one thread for each try at a backend server.

mod launcher;
mod pace;
mod relay_try;
mod trouble;

pub use launcher::Launcher;
pub use pace::Pace;
pub use relay_try::RelayTry;
pub use trouble::Trouble;
