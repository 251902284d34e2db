//! Watching the configuration and the list of instances at the platform.

mod config_watcher;
mod instance_list;
mod registrar;
mod selection_notifier;
mod watch_message;

pub use config_watcher::ConfigWatcher;
pub use instance_list::InstanceList;
pub use registrar::Registrar;
pub use selection_notifier::SelectionNotifier;
pub use watch_message::WatchMessage;
