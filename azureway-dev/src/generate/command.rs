//! The subcommand that generates traces.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::{Case, Generator};

/// Returns the subcommand's arguments.
pub fn command() -> Command {
    let names = Case::ALL.map(Case::as_str);
    Command::new("generate")
        .about("Generates the trace of each case, or of one, into a folder")
        .arg(
            Arg::new("FOLDER")
                .required(true)
                .help("The folder to write to"),
        )
        .arg(Arg::new("case").long("case").value_parser(names))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("The seed; the committed traces use the place of their case"),
        )
}

/// Generates traces.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let folder: &String = matches.get_one("FOLDER").context("no folder")?;
    let one = matches.get_one::<String>("case");
    let chosen = |case: &Case| one.is_none_or(|o| o == case.as_str());
    for case in Case::ALL.into_iter().filter(chosen) {
        let seed = matches.get_one("seed").copied();
        let trace = Generator::new(case, seed.unwrap_or(case.seed())).generate();
        let file = Path::new(folder).join(format!("{case}.trace"));
        let written = fs::write(&file, trace.to_string());
        written.with_context(|| format!("write {}", file.display()))?;
    }
    Ok(())
}
