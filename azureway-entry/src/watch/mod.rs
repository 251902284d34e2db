//! The watching duty: the configuration as the platform holds it.

mod choice_notifier;
mod instance_list;
mod registrar;
mod watch_message;
mod watcher;

pub use choice_notifier::ChoiceNotifier;
pub use instance_list::InstanceList;
pub use registrar::Registrar;
pub use watch_message::WatchMessage;
pub use watcher::Watcher;
