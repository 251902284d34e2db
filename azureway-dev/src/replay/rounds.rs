//! The `rounds` subcommand, which compares the policies over many seeds.

use std::path::Path;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::{Plot, Table, compare};
use crate::generate::{Case, Generator};
use crate::trace::Trace;

/// The seed before the first of a comparison, above the seeds of the committed traces.
const BASE_SEED: u64 = 1_000;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let seeds = Arg::new("seeds").long("seeds").default_value("10");
    let names = Case::ALL.map(Case::as_str);
    Command::new("rounds")
        .about("Compares the policies over many generated traces of each case")
        .arg(seeds.value_parser(value_parser!(u64)))
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Draws the plot as SVG"),
        )
        .arg(Arg::new("case").long("case").value_parser(names))
}

/// Prints a table of the measures for each case, and draws the plot if one is asked for.
///
/// # Errors
///
/// Returns an error if the number of seeds is missing or the plot cannot be drawn.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let seeds: u64 = *matches
        .get_one("seeds")
        .context("the argument --seeds is missing")?;
    let only = matches.get_one::<String>("case");
    let selected = |case: &Case| only.is_none_or(|o| o == case.as_str());
    let mut groups = Vec::new();
    for case in Case::ALL.into_iter().filter(selected) {
        let range = BASE_SEED + 1..=BASE_SEED + seeds;
        let traces: Vec<Trace> = range
            .clone()
            .map(|seed| Generator::new(case, seed).generate())
            .collect();
        println!("{case}, seeds {} to {}", range.start(), range.end());
        let summaries = compare(&traces);
        println!("{}", Table::new(&summaries));
        groups.push((case.as_str(), summaries));
    }
    match matches.get_one::<String>("plot") {
        Some(file) => Plot::new(&groups).draw(Path::new(file)),
        None => Ok(()),
    }
}
