//! The `generate` subcommand, which writes the traces of the replay.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::{Case, Generator};

/// Returns the definition of the subcommand.
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
                .help("The seed; by default, that of the committed trace of the case"),
        )
}

/// Generates the traces of the selected cases and writes them to a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let folder: &String = matches
        .get_one("FOLDER")
        .context("the argument FOLDER is missing")?;
    let only = matches.get_one::<String>("case");
    let selected = |case: &Case| only.is_none_or(|o| o == case.as_str());
    for case in Case::ALL.into_iter().filter(selected) {
        let seed = matches.get_one("seed").copied();
        let trace = Generator::new(case, seed.unwrap_or(case.seed())).generate();
        let file = Path::new(folder).join(format!("{case}.trace"));
        let result = fs::write(&file, trace.to_string());
        result.with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(())
}
