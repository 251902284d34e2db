//! Tests of the commands against a running system over loopback.

mod program;

use azureway_cli::Exit;
use azureway_config::settings::{Bounds, EntrySettings};
use azureway_core::prelude::*;
use azureway_dev::engine::EngineConfig;
use azureway_dev::platform::PlatformFaults;
use azureway_dev::serve::{Layout, RunningEntry, System};
use googletest::prelude::*;
use program::{execute, split_words};

/// The limit of a wait, in seconds, so that a failing test does not hang. No result depends on it.
const TEST_TIMEOUT: u64 = 60;

/// Starts a system of one zone with two engines and one entry instance.
fn start_system() -> System {
    let layout = Layout::new()
        .with_zones(&["kranj-a"])
        .with_engines(2)
        .with_entries(1);
    let system = System::start(&layout, &EngineConfig::new(), &Bounds::new());
    let system = system.expect("the system starts");
    system.wait_ready();
    system
}

/// Runs a command line against a system, with the platform and the first entry instance given as an
/// operator's environment would.
fn run_command(system: &System, line: &str) -> (Exit, String) {
    let mut all = vec!["azureway".to_owned()];
    all.push(format!("--platform={}", system.platform_address()));
    all.extend(split_words(line));
    let takes_entry = !line.starts_with("config") && !line.contains("--entry");
    if takes_entry {
        all.push(format!("--entry={}", system.admin_addresses()[0]));
    }
    execute(all)
}

/// Waits until every entry instance has the version in force that a command printed.
fn wait_for(system: &System, printed: &str) {
    let version = printed.split_whitespace().nth(3).expect("a version");
    let version = version.trim_end_matches(',').parse().expect("a number");
    system.wait_version(ConfigVersion::new(version));
}

#[gtest]
fn commands_return_the_exit_codes_and_output_of_the_table() {
    let system = start_system();
    for line in include_str!("../testdata/entry.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split(" |").map(str::trim).collect();
        let (exit, printed) = run_command(&system, cells[0]);
        expect_that!((exit as u8).to_string(), eq(cells[1]), "{line}\n{printed}");
        expect_that!(printed, contains_substring(cells[2]), "{line}");
    }
    system.drain();
}

#[gtest]
fn the_status_shows_lease_holders_and_a_platform_outage() {
    let system = start_system();
    let value = r#"{"holder":"kranj-a-entry-1","mark":1,"beat":2,"number":7}"#;
    system.platform.seed("lease", "sample", value);
    let (_, status) = run_command(&system, "status");
    let expected = "lease sample  kranj-a-entry-1  fencing number 7";
    expect_that!(status, contains_substring(expected));
    system.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::new()
    });
    let (exit, status) = run_command(&system, "status");
    expect_that!(exit, eq(Exit::Failed));
    expect_that!(
        status,
        contains_substring("kranj-a-entry-1  zone kranj-a  serving")
    );
    expect_that!(
        status,
        contains_substring("leases unknown: list objects with platform")
    );
    system.drain();
}

#[gtest]
fn a_changed_limit_takes_effect_and_appears_in_the_audit_trail() {
    let system = start_system();
    let edit = "config edit 'account wax-desk' --set limit=500 --reason thaw";
    let (exit, printed) = run_command(&system, edit);
    expect_that!(exit, eq(Exit::Done), "{printed}");
    wait_for(&system, &printed);
    let (_, history) = run_command(&system, "config history --diff");
    expect_that!(history, contains_substring("[account wax-desk]  thaw"));
    expect_that!(history, contains_substring("+ limit = 500"));
    system.drain();
}

#[gtest]
fn a_drained_server_gets_no_new_requests() {
    let system = start_system();
    let drain = "drain --server kranj-a-engine-1 --reason repair";
    let (exit, printed) = run_command(&system, drain);
    expect_that!(exit, eq(Exit::Done), "{printed}");
    wait_for(&system, &printed);
    let explain = "explain --account wax-desk --service advice --message 'House rules'";
    let (_, explained) = run_command(&system, explain);
    expect_that!(explained, contains_substring("leaving  kranj-a-engine-1"));
    expect_that!(explained, contains_substring("chosen   kranj-a-engine-2"));
    let (_, printed) = run_command(&system, &format!("{drain} --undo"));
    wait_for(&system, &printed);
    let (_, status) = run_command(&system, "status");
    expect_that!(status, contains_substring("3 of 3 live"));
    system.drain();
}

#[gtest]
fn a_drained_entry_stops_and_the_others_keep_serving() {
    let layout = Layout::new().with_zones(&["kranj-a"]).with_entries(2);
    let system = System::start(&layout, &EngineConfig::new(), &Bounds::new());
    let system = system.expect("the system starts");
    system.wait_ready();
    let (exit, printed) = run_command(&system, "drain");
    expect_that!(exit, eq(Exit::Done), "{printed}");
    // Returns only after the drained entry instance has stopped too.
    let url = format!("http://{}/readyz", system.addresses()[1]);
    let ready = minreq::get(url).with_timeout(TEST_TIMEOUT).send();
    expect_that!(ready.expect("an answer").status_code, eq(200));
    system.drain();
}

#[gtest]
fn the_admin_interface_requires_the_operator_key_and_the_key_is_not_printed() {
    let system = start_system();
    let (name, zone) = (InstanceId::new("keyed"), ZoneId::new("kranj-a"));
    let settings = EntrySettings::new(name, zone, system.platform_address());
    let entry = RunningEntry::start(&settings.with_operator_key(KeyHash::of("sesame")));
    let entry = entry.expect("the entry starts");
    let admin = entry.admin_address().expect("an address");
    for (key, exit) in [
        ("", 1),
        ("--operator-key wrong", 1),
        ("--operator-key sesame", 0),
    ] {
        let line = format!("status --entry {admin} {key}");
        let (ended, printed) = run_command(&system, &line);
        expect_that!(ended as u8, eq(exit), "{line}\n{printed}");
        expect_that!(printed.contains("sesame"), eq(false));
    }
    entry.drain();
    system.drain();
}
