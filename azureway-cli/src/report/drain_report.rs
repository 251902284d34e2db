//! The output of `drain` for one entry instance that has started to drain.

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

/// Confirms that an entry instance has started to drain.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DrainReport {
    entry: SocketAddr,
    draining: bool,
}

impl DrainReport {
    pub(crate) const fn new(entry: SocketAddr) -> Self {
        let draining = true;
        Self { entry, draining }
    }
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "entry {} drains: it completes its requests and accepts no new ones",
            self.entry
        )
    }
}
