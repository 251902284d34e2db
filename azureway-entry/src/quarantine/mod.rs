//! The duty that stores quarantined parts of prompts at the platform, where they outlast entries.

mod quarantine_client;
mod quarantine_writer;

pub use quarantine_client::QuarantineClient;
pub use quarantine_writer::QuarantineWriter;
