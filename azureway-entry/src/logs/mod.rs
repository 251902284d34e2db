//! Logs that never hold up whoever writes them.
//!
//! A [`LogRing`] takes lines from every duty without waiting and within a rate; a
//! [`LogWriter`] writes them to standard output. What finds no room is counted, and the count is
//! written as a line of its own.

mod flusher;
mod ring;
mod writer;

pub use flusher::LogFlusher;
pub use ring::LogRing;
pub use writer::LogWriter;

/// Starts the logs of a process: lines of `level` and above, unless the environment says else.
/// What is returned lets the process write its last lines.
///
/// # Errors
///
/// Returns an error if the system has no thread for the writer.
pub fn start(level: &str) -> Result<LogFlusher, azureway_core::prelude::Error> {
    let (ring, writer, end) = LogRing::new();
    crate::daemon::spawn("logs", move || writer.run(&mut std::io::stdout()))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level))
        .format_timestamp_millis()
        .target(env_logger::Target::Pipe(Box::new(ring)))
        .init();
    Ok(end)
}
