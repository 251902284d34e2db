//! The operators' interface: commands against a platform over loopback.

mod program;
mod support;

use azureway_cli::Exit;
use azureway_dev::platform::PlatformFaults;
use googletest::prelude::*;
use program::words;
use support::Desk;

#[gtest]
fn commands_answer_as_the_table_says() {
    let mut desk = Desk::new();
    for line in include_str!("../testdata/commands.txt").lines() {
        if line.starts_with("==") {
            desk = Desk::new();
        } else if !line.starts_with('#') {
            let cells: Vec<&str> = line.split(" |").map(str::trim).collect();
            let (exit, printed) = desk.run(&words(cells[0]));
            expect_that!((exit as u8).to_string(), eq(cells[1]), "{line}\n{printed}");
            expect_that!(printed, contains_substring(cells[2]), "{line}");
            expect_that!(
                printed.is_empty(),
                eq(cells[2].is_empty()),
                "{line}\n{printed}"
            );
        }
    }
}

#[gtest]
fn a_bad_document_names_every_fault_and_writes_nothing() {
    let desk = Desk::new();
    let before = desk.platform.value("config", "document");
    let (exit, printed) = desk.run(&words("config put BAD --reason faults"));
    expect_that!(exit, eq(Exit::Invalid));
    for fault in [
        "line 2: [pool engines] lodes: unknown key; did you mean `loads`?",
        "line 4: [server s] pool: no section [pool other] exists",
        "line 6: [server s] address: expected an IP address",
        "line 7: [thing]: unknown kind",
        "line 8: [account a b]: expected a header",
    ] {
        expect_that!(printed, contains_substring(fault));
    }
    expect_that!(desk.platform.value("config", "document"), eq(&before));
}

#[gtest]
fn the_first_document_holds_the_sections_of_every_team() {
    let desk = Desk::empty();
    let (exit, printed) = desk.run(&words("config put FILE --reason first"));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let (_, history) = desk.run(&words("config history"));
    expect_that!(history, contains_substring("1 from 0"));
    expect_that!(history, contains_substring("account wax-desk"));
    let (exit, _) = desk.run(&words("config put FILE --reason again"));
    expect_that!(exit, eq(Exit::Usage));
}

#[gtest]
fn an_edited_document_is_rebased_on_another_teams_change() {
    let desk = Desk::new();
    let file = desk.get("rebase.ini", |text| {
        text.replace("limit = 1000", "limit = 500")
    });
    for (set, reason) in [("limit=1", "one"), ("limit=2", "two")] {
        let line =
            format!("config edit 'account shop-drafts' --set {set} --reason {reason} --team shops");
        expect_that!(desk.run(&words(&line)).0, eq(Exit::Done));
    }
    let put = format!("config put {file} --reason mine --team retail");
    let (exit, printed) = desk.run(&words(&put));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let (_, text) = desk.run(&words("config get"));
    expect_that!(text, contains_substring("limit = 500"));
    expect_that!(text, contains_substring("limit = 2\n"));
    let (_, history) = desk.run(&words("config history"));
    expect_that!(history.lines().count(), eq(3), "{history}");
}

#[gtest]
fn a_race_on_one_section_shows_the_other_change() {
    let desk = Desk::new();
    let file = desk.get("race.ini", |text| {
        text.replace("limit = 1000", "limit = 500")
    });
    let line = "config edit 'account wax-desk' --set limit=800 --reason first --team retail";
    expect_that!(desk.run(&words(line)).0, eq(Exit::Done));
    let put = format!("config put {file} --reason mine --team retail");
    let (exit, printed) = desk.run(&words(&put));
    expect_that!(exit, eq(Exit::Conflict));
    expect_that!(printed, contains_substring("- limit = 1000\n+ limit = 800"));
}

#[gtest]
fn a_lost_answer_is_resolved_and_the_change_is_made_once() {
    let desk = Desk::new();
    for (number, lost) in [(1, 1), (2, 2)] {
        let faults = PlatformFaults {
            lost,
            ..PlatformFaults::new()
        };
        desk.platform.set_faults(faults);
        let line =
            format!("config edit 'account wax-desk' --set limit={number} --reason r --team retail");
        let (exit, printed) = desk.run(&words(&line));
        expect_that!(exit, eq(Exit::Done), "{printed}");
    }
    desk.platform.set_faults(PlatformFaults::new());
    let (_, history) = desk.run(&words("config history"));
    expect_that!(history.lines().count(), eq(2), "{history}");
}

#[gtest]
fn a_platform_that_is_out_ends_a_command_at_once() {
    let desk = Desk::new();
    let faults = PlatformFaults {
        outage: true,
        ..PlatformFaults::new()
    };
    desk.platform.set_faults(faults);
    let (exit, printed) = desk.run(&words("config edit ranks --set floor=1 --reason r"));
    expect_that!(exit, eq(Exit::Failed));
    expect_that!(printed, contains_substring("get object with platform"));
}

/// 350 client accounts, 23 services and 1,600 servers, and a change of every section of a team.
#[gtest]
fn the_document_of_the_plan_fits_and_a_larger_one_is_refused() {
    let desk = Desk::new();
    let (planned, bytes) = desk.plan(350, 1_600, "planned.ini");
    let (exit, printed) = desk.run(&words(&format!("config put {planned} --reason plan")));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let stored = desk
        .platform
        .value("config", "document")
        .expect("a document");
    // Half of a value is room for the record of a change to everything.
    println!(
        "planned document: {bytes} bytes, stored as {}",
        stored.len()
    );
    expect_that!(bytes, lt(512 * 1024));
    expect_that!(stored.len(), lt(1024 * 1024));
    let desk = Desk::new();
    let (larger, _) = desk.plan(350, 12_000, "larger.ini");
    let (exit, printed) = desk.run(&words(&format!("config put {larger} --reason growth")));
    expect_that!(exit, eq(Exit::Invalid));
    expect_that!(
        printed,
        contains_substring("the platform holds 1048576; nothing was written")
    );
}

/// The record of a change is archived by whoever changes the document next, so it must fit too:
/// in JSON each end of a line takes two bytes.
#[gtest]
fn a_change_whose_record_could_not_be_archived_is_refused() {
    let desk = Desk::new();
    let lines = ";\n".repeat(450_000);
    let file = desk.get("lines.ini", |text| format!("{text}\n[pool lines]\n{lines}"));
    let (exit, printed) = desk.run(&words(&format!("config put {file} --reason lines")));
    expect_that!(exit, eq(Exit::Invalid));
    expect_that!(
        printed,
        contains_substring("the platform holds 1048576; nothing was written")
    );
    let next = "config edit ranks --set floor=11 --reason next";
    expect_that!(desk.run(&words(next)).0, eq(Exit::Done));
}
