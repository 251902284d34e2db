//! The `azureway-entry` program: serves until a signal or an operator starts the drain.

use std::thread;

use anyhow::{Context, Result};
use azureway_entry::daemon::Entry;
use azureway_entry::{logs, memory, program};
use clap::ArgMatches;
use flume::{Receiver, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The program's purpose, as its help text states it.
const ABOUT: &str = "Routes requests from callers to backend servers";

fn main() -> Result<()> {
    memory::limit_allocator();
    let logs = logs::start("info")?;
    let result = run(&program::command("azureway-entry", ABOUT).get_matches());
    logs.flush();
    result
}

fn run(matches: &ArgMatches) -> Result<()> {
    let settings = program::read_settings(matches)?;
    if program::is_check(matches)? {
        return Ok(());
    }
    let signals = Signals::new([SIGINT, SIGTERM]).context("wait for signals")?;
    let (shutdown, shutdown_requests) = flume::bounded(1);
    let entry = Entry::start_with(&settings, shutdown.clone())?;
    wait(signals, shutdown, shutdown_requests)?;
    entry.drain();
    log::info!(step = "stop"; "drained");
    Ok(())
}

/// Waits for the first signal or an operator's drain request. Later signals are logged while the
/// daemon drains.
fn wait(mut signals: Signals, shutdown: Sender<()>, shutdown_requests: Receiver<()>) -> Result<()> {
    let duty = move || {
        for signal in signals.forever() {
            if shutdown.try_send(()).is_err() {
                log::warn!(step = "stop", signal = signal; "still draining; streams are being finished");
            }
        }
    };
    thread::Builder::new()
        .name("signal".to_owned())
        .spawn(duty)
        .context("start thread signal")?;
    shutdown_requests.recv().context("wait for signals")?;
    // This closes the ring, so that every further signal is logged.
    drop(shutdown_requests);
    log::info!(step = "stop"; "draining");
    Ok(())
}
