//! The entry daemon's program.

use std::thread;

use anyhow::{Context, Result};
use azureway_entry::daemon::Entry;
use azureway_entry::{logs, program};
use clap::ArgMatches;
use flume::{Receiver, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// What the program is for.
const ABOUT: &str = "Stands between callers and backend servers";

fn main() -> Result<()> {
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
    let (stopper, asked) = flume::bounded(1);
    let entry = Entry::start_with(&settings, stopper.clone())?;
    wait(signals, stopper, asked)?;
    entry.drain();
    log::info!(step = "stop"; "drained");
    Ok(())
}

/// Waits for the first signal or for an operator. Later signals are reported while the daemon
/// drains.
fn wait(mut signals: Signals, stopper: Sender<()>, asked: Receiver<()>) -> Result<()> {
    let duty = move || {
        for signal in signals.forever() {
            if stopper.try_send(()).is_err() {
                log::warn!(step = "stop", signal = signal; "still draining; streams are being finished");
            }
        }
    };
    thread::Builder::new()
        .name("signal".to_owned())
        .spawn(duty)
        .context("start thread signal")?;
    asked.recv().context("wait for signals")?;
    // From here on the ring is closed, and every further signal is reported.
    drop(asked);
    log::info!(step = "stop"; "draining");
    Ok(())
}
