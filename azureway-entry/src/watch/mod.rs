//! The watching duty: the configuration as the platform holds it.

mod choice_desk;
mod watch_note;
mod watcher;

pub use choice_desk::ChoiceDesk;
pub use watch_note::WatchNote;
pub use watcher::Watcher;
