//! The watching duty: the configuration as the platform holds it.

mod choice_notifier;
mod watch_message;
mod watcher;

pub use choice_notifier::ChoiceNotifier;
pub use watch_message::WatchMessage;
pub use watcher::Watcher;
