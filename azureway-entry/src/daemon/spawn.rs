//! Threads for the duties.

use std::thread::{self, JoinHandle};

use azureway_core::prelude::{Error, ErrorKind, Step};

/// Starts a duty in a thread of its own with the given name.
///
/// # Errors
///
/// Returns an error if the system cannot create the thread.
pub fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, Error> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(duty);
    thread.map_err(|e| Error::new(ErrorKind::System, Step::new("start thread"), e).with_peer(name))
}
