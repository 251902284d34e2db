//! The subcommand that replays traces.

use std::fs;
use std::io::{IsTerminal, stderr};

use anyhow::{Context, Result};
use azureway_core::prelude::{LeastLoaded, Policy, PrefixHash, PrefixLoad, RoundRobin};
use clap::{Arg, ArgMatches, Command};

use super::{Player, Summary, Table};
use crate::trace::Trace;

/// The records between two lines of progress.
const PROGRESS: usize = 500;

/// Returns the subcommand's arguments.
pub fn command() -> Command {
    let output = Arg::new("output").long("output").default_value("text");
    Command::new("replay")
        .about("Replays a trace under each policy and judges it by its stated outcomes")
        .arg(Arg::new("FILE").required(true).help("The trace"))
        .arg(output.value_parser(["text", "json"]))
}

/// Replays a trace. Returns whether its stated outcomes hold.
///
/// # Errors
///
/// Returns an error if the trace cannot be read.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    let file: &String = matches.get_one("FILE").context("no file")?;
    let text = fs::read_to_string(file).with_context(|| format!("read {file}"))?;
    let trace: Trace = text.parse().with_context(|| format!("read {file}"))?;
    let summaries = compare(&trace);
    let output = matches.get_one::<String>("output");
    if output.is_some_and(|o| o == "json") {
        println!("{}", serde_json::to_string_pretty(&summaries)?);
    } else {
        print!(
            "{file}, seed {}\n\n{}",
            trace.header.seed,
            Table::new(&summaries)
        );
    }
    Ok(true)
}

/// Replays a trace under the product's policy and each baseline.
pub(super) fn compare(trace: &Trace) -> Vec<Summary> {
    vec![
        play::<PrefixLoad>(trace),
        play::<RoundRobin>(trace),
        play::<LeastLoaded>(trace),
        play::<PrefixHash>(trace),
    ]
}

fn play<P: Policy + Default>(trace: &Trace) -> Summary {
    let shown = stderr().is_terminal();
    let all = trace.records.len();
    let tell = |number: usize| {
        if shown && number.is_multiple_of(PROGRESS) {
            eprintln!("{}: record {number} of {all}", P::NAME);
        }
    };
    let tally = Player::<P>::new(trace).play(tell);
    Summary::new(P::NAME, &tally)
}
