//! Stand-ins and cases of the second review: a store, backend servers, clients and the checks.
//!
//! `stand2 case NAME FOLDER` plays a case, writes `record.txt` in its folder and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `stand2 server ...` is one backend server, a process
//! of its own so that it can be killed.

mod case_answers;
mod case_forget;
mod case_head;
mod case_memory;
mod case_parts;
mod case_resume;
mod client;
mod deployment;
mod entry;
mod http;
mod ordinary;
mod process;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use record::Record;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", rest @ ..] => server::run(rest),
        ["case", name, folder] => exit(play(name, PathBuf::from(folder))),
        _ => {
            eprintln!("usage: stand2 case NAME FOLDER");
            exit(2);
        }
    }
}

/// Plays a case. Returns the exit status.
fn play(name: &str, folder: PathBuf) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return 2;
        }
    };
    record.note(format!("case {name}, trouble {trouble}"));
    process::end_after(TIME_LIMIT);
    let result = match name {
        "parts" => case_parts::play(&record, trouble),
        "resume" => case_resume::play(&record, trouble),
        "memory" => case_memory::play(&record, trouble),
        "answers" => case_answers::play(&record, trouble),
        "forget" => case_forget::play(&record, trouble),
        "head" => case_head::play(&record, trouble),
        _ => Err(format!("no case {name}")),
    };
    let (status, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    record.note(&text);
    println!("{text}");
    status
}
