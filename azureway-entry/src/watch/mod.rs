//! The watching duty: the configuration as the platform holds it.

mod watcher;

pub use watcher::Watcher;
