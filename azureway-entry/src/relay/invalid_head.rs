//! Logging of response heads that are not valid.

use std::io;

use azureway_core::prelude::Dispatch;

/// Logs that the response head of an attempt is not valid HTTP or does not tell where the body ends. Other
/// errors of a connection are not logged here; the outcome of the attempt names them.
pub fn log_invalid_head(dispatch: &Dispatch, error: &io::Error) {
    if error.kind() == io::ErrorKind::Other {
        log::warn!(request:% = dispatch.attempt.id, step = "read head", peer:% = dispatch.server, error:% = error; "the response head is not valid");
    }
}
