//! The asynchronous runtime of a duty that waits for many connections at once.

use azureway_core::prelude::{Error, ErrorKind, Step};
use tokio::runtime::{Builder, Runtime};

/// Creates a runtime that runs on the thread of its duty.
///
/// # Errors
///
/// Returns an error if the system cannot create the runtime.
pub fn create() -> Result<Runtime, Error> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build();
    runtime.map_err(|e| Error::new(ErrorKind::System, Step::new("start runtime"), e))
}
