//! Runs command lines as the program does.

use azureway_cli::{Exit, Failure, command, run};

/// Runs a command line and returns its exit code and its output or error.
pub(crate) fn execute(line: Vec<String>) -> (Exit, String) {
    let matches = match command().try_get_matches_from(line) {
        Ok(matches) => matches,
        Err(e) => return (Exit::Usage, e.to_string()),
    };
    let mut out = Vec::new();
    match run(&matches, &mut out) {
        Ok(exit) => (exit, String::from_utf8(out).expect("text")),
        Err(e) => {
            let exit = e.downcast_ref::<Failure>().map(Failure::exit);
            (exit.unwrap_or(Exit::Failed), format!("{e:#}"))
        }
    }
}

/// Splits a command line into words at white space. A part in single quotes is one word.
pub(crate) fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}
