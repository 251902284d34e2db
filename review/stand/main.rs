//! Stand-ins and checks of the review's cases: `stand CASE FOLDER`.

mod case_extra;
mod case_memory;
mod case_parts;
mod case_shed;
mod case_wall;
mod client;
mod entry;
mod http;
mod json;
mod proxy;
mod record;
mod socket;
mod store;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// The end of a case that broke no rule.
pub const HELD: i32 = 0;
/// The end of a case that broke a rule.
pub const BROKEN: i32 = 1;
/// The end of a case that could not run.
pub const NOT_RUN: i32 = 2;

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: stand CASE FOLDER");
        exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let folder = Path::new(folder);
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{}: {e}", folder.display());
            exit(NOT_RUN);
        }
    };
    let temp = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&temp);
    record.say(format_args!("case {case}, trouble {trouble}"));
    let run = || match case.as_str() {
        "extra" => case_extra::run(&record, &temp, trouble),
        "memory" => case_memory::run(&record, &temp, trouble),
        "parts" => case_parts::run(&record, &temp, trouble),
        "shed" => case_shed::run(&record, &temp, trouble),
        "wall" => case_wall::run(&record, &temp, trouble),
        _ => NOT_RUN,
    };
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(NOT_RUN);
    let word = ["held", "broken", "could not run"][code as usize];
    record.say(format_args!("result: {word}"));
    record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    exit(code);
}

/// Waits until `done` holds. Returns whether it did within `limit`.
pub fn wait_until(limit: Duration, done: impl Fn() -> bool) -> bool {
    let end = std::time::Instant::now() + limit;
    while std::time::Instant::now() < end {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    done()
}
