//! The `replay` subcommand, which checks traces against their outcome files.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command};

use super::{Report, compare};
use crate::outcome::{KnownShortfalls, Outcomes};
use crate::trace::Trace;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let output = Arg::new("output").long("output").default_value("text");
    let known = Arg::new("known").long("known").value_name("FILE");
    Command::new("replay")
        .about("Replays traces under each policy and checks them against their outcome files")
        .arg(
            Arg::new("FILE")
                .required(true)
                .num_args(1..)
                .help("The traces"),
        )
        .arg(output.value_parser(["text", "json", "verdict", "known"]))
        .arg(known.help("The list of shortfalls that do not fail the run"))
}

/// Replays traces and returns whether each meets its bounds, known shortfalls apart.
///
/// # Errors
///
/// Returns an error if a file cannot be read or parsed.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    let known = match matches.get_one::<String>("known") {
        Some(file) => fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?,
        None => String::new(),
    };
    let output = matches
        .get_one::<String>("output")
        .context("the argument --output is missing")?;
    let mut passed = true;
    for file in matches
        .get_many::<String>("FILE")
        .context("the argument FILE is missing")?
    {
        let report = check_trace(file, &known)?;
        match output.as_str() {
            "json" => println!("{}", report.json()?),
            "known" => print!("{}", report.known_entry()),
            "verdict" => print!("{}", report.verdict()),
            _ => print!("{report}{}", report.verdict()),
        }
        passed &= report.passes();
    }
    Ok(passed)
}

/// Replays the trace in a file and checks it against the outcome file next to it.
fn check_trace(file: &str, known: &str) -> Result<Report> {
    let path = Path::new(file);
    let name = path
        .file_stem()
        .map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {file}"))?;
    let trace: Trace = text
        .parse()
        .with_context(|| format!("cannot parse {file}"))?;
    let outcomes_path = path.with_extension("outcomes");
    let outcomes_text = fs::read_to_string(&outcomes_path);
    let outcomes_text =
        outcomes_text.with_context(|| format!("cannot read {}", outcomes_path.display()))?;
    let outcomes: Outcomes = outcomes_text.parse()?;
    let summaries = compare(std::slice::from_ref(&trace));
    Ok(Report {
        shortfalls: outcomes.check(&summaries),
        bounds: outcomes.len(),
        known: KnownShortfalls::for_trace(&name, known),
        seed: trace.header.seed,
        name,
        summaries,
    })
}
