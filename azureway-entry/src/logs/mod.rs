//! Non-blocking, rate-limited logs.
//!
//! A [`LogSender`] accepts lines from every duty without blocking, up to a rate limit, and a
//! [`LogWriter`] writes them to standard output. Dropped lines are counted, and the count is
//! logged as a line of its own.

mod flusher;
mod sender;
mod writer;

pub use flusher::LogFlusher;
pub use sender::LogSender;
pub use writer::LogWriter;

/// Starts the logs of a process at `level`, unless the environment sets another filter, and
/// returns the flusher to call before the process ends.
///
/// # Errors
///
/// Returns an error if the system cannot create the writer's thread.
pub fn start(level: &str) -> Result<LogFlusher, azureway_core::prelude::Error> {
    let (sender, writer, flusher) = LogSender::new();
    crate::daemon::spawn("logs", move || writer.run(&mut std::io::stdout()))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level))
        .format_timestamp_millis()
        .target(env_logger::Target::Pipe(Box::new(sender)))
        .init();
    Ok(flusher)
}
