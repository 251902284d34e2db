//! The entry daemon's program.

use std::fs;
use std::thread;

use anyhow::{Context, Result};
use azureway_config::settings;
use azureway_entry::daemon::Entry;
use azureway_entry::logs;
use clap::{Arg, ArgAction, ArgMatches, Command};
use flume::{Receiver, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> Result<()> {
    let logs = logs::start("info")?;
    let result = run(&command().get_matches());
    logs.finish();
    result
}

fn command() -> Command {
    Command::new("azureway-entry")
        .about("Stands between callers and backend servers")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("The settings, in INI"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

fn run(matches: &ArgMatches) -> Result<()> {
    let path: &String = matches
        .get_one("settings")
        .context("--settings is required")?;
    let text = fs::read_to_string(path).with_context(|| format!("read settings {path}"))?;
    let settings = settings::parse(&text).with_context(|| format!("check settings {path}"))?;
    if matches.get_flag("check") {
        println!("{path}: the settings are good");
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
