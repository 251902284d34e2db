//! The operators' program `azureway`.

use std::io;
use std::process::ExitCode;

use azureway_cli::{Exit, Failure, command, run};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches, io::stdout().lock()) {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("azureway: {e:#}");
            let exit = e.downcast_ref::<Failure>().map(Failure::exit);
            exit.unwrap_or(Exit::Failed).into()
        }
    }
}
