//! Tests of the commands against a platform over loopback.

mod program;
mod support;

use azureway_cli::Exit;
use azureway_dev::platform::PlatformFaults;
use googletest::prelude::*;
use program::split_words;
use support::CliFixture;

#[gtest]
fn commands_return_the_exit_codes_and_output_of_the_table() {
    let mut fixture = CliFixture::new();
    for line in include_str!("../testdata/commands.txt").lines() {
        if line.starts_with("==") {
            fixture = CliFixture::new();
        } else if !line.starts_with('#') {
            let cells: Vec<&str> = line.split(" |").map(str::trim).collect();
            let (exit, printed) = fixture.run(&split_words(cells[0]));
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
fn putting_a_faulty_document_lists_every_fault_and_writes_nothing() {
    let fixture = CliFixture::new();
    let before = fixture.platform.value("config", "document");
    let (exit, printed) = fixture.run(&split_words("config put BAD --reason faults"));
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
    expect_that!(fixture.platform.value("config", "document"), eq(&before));
}

#[gtest]
fn the_first_put_may_add_sections_of_every_team_and_later_ones_must_name_a_version() {
    let fixture = CliFixture::empty();
    let (exit, printed) = fixture.run(&split_words("config put FILE --reason first"));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let (_, history) = fixture.run(&split_words("config history"));
    expect_that!(history, contains_substring("1 from 0"));
    expect_that!(history, contains_substring("account wax-desk"));
    let (exit, _) = fixture.run(&split_words("config put FILE --reason again"));
    expect_that!(exit, eq(Exit::Usage));
}

#[gtest]
fn an_edited_document_is_rebased_on_another_teams_change() {
    let fixture = CliFixture::new();
    let file = fixture.save_document("rebase.ini", |text| {
        text.replace("limit = 1000", "limit = 500")
    });
    for (set, reason) in [("limit=1", "one"), ("limit=2", "two")] {
        let line =
            format!("config edit 'account shop-drafts' --set {set} --reason {reason} --team shops");
        expect_that!(fixture.run(&split_words(&line)).0, eq(Exit::Done));
    }
    let put = format!("config put {file} --reason mine --team retail");
    let (exit, printed) = fixture.run(&split_words(&put));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let (_, text) = fixture.run(&split_words("config get"));
    expect_that!(text, contains_substring("limit = 500"));
    expect_that!(text, contains_substring("limit = 2\n"));
    let (_, history) = fixture.run(&split_words("config history"));
    expect_that!(history.lines().count(), eq(3), "{history}");
}

#[gtest]
fn a_conflicting_change_of_one_section_is_rejected_and_the_other_change_printed() {
    let fixture = CliFixture::new();
    let file = fixture.save_document("race.ini", |text| {
        text.replace("limit = 1000", "limit = 500")
    });
    let line = "config edit 'account wax-desk' --set limit=800 --reason first --team retail";
    expect_that!(fixture.run(&split_words(line)).0, eq(Exit::Done));
    let put = format!("config put {file} --reason mine --team retail");
    let (exit, printed) = fixture.run(&split_words(&put));
    expect_that!(exit, eq(Exit::Conflict));
    expect_that!(printed, contains_substring("- limit = 1000\n+ limit = 800"));
}

#[gtest]
fn a_change_whose_answers_are_lost_is_accepted_once() {
    let fixture = CliFixture::new();
    for (number, lost) in [(1, 1), (2, 2)] {
        let faults = PlatformFaults {
            lost_answers: lost,
            ..PlatformFaults::new()
        };
        fixture.platform.set_faults(faults);
        let line =
            format!("config edit 'account wax-desk' --set limit={number} --reason r --team retail");
        let (exit, printed) = fixture.run(&split_words(&line));
        expect_that!(exit, eq(Exit::Done), "{printed}");
    }
    fixture.platform.set_faults(PlatformFaults::new());
    let (_, history) = fixture.run(&split_words("config history"));
    expect_that!(history.lines().count(), eq(2), "{history}");
}

#[gtest]
fn an_edit_during_a_platform_outage_fails_at_its_first_read() {
    let fixture = CliFixture::new();
    let faults = PlatformFaults {
        outage: true,
        ..PlatformFaults::new()
    };
    fixture.platform.set_faults(faults);
    let (exit, printed) = fixture.run(&split_words("config edit ranks --set floor=1 --reason r"));
    expect_that!(exit, eq(Exit::Failed));
    expect_that!(printed, contains_substring("get object with platform"));
}

/// The planned document has 350 client accounts, 23 services and 1,600 servers. The record of the
/// change that adds them must fit into a value of the platform too.
#[gtest]
fn a_document_of_the_planned_size_fits_and_a_larger_one_is_rejected() {
    let fixture = CliFixture::new();
    let (planned, bytes) = fixture.write_large_document(350, 1_600, "planned.ini");
    let (exit, printed) = fixture.run(&split_words(&format!("config put {planned} --reason plan")));
    expect_that!(exit, eq(Exit::Done), "{printed}");
    let stored = fixture
        .platform
        .value("config", "document")
        .expect("a document");
    // The document may fill at most half of a value, so that the record of a change to every
    // section fits as well.
    println!(
        "planned document: {bytes} bytes, stored as {}",
        stored.len()
    );
    expect_that!(bytes, lt(512 * 1024));
    expect_that!(stored.len(), lt(1024 * 1024));
    let fixture = CliFixture::new();
    let (larger, _) = fixture.write_large_document(350, 12_000, "larger.ini");
    let (exit, printed) = fixture.run(&split_words(&format!(
        "config put {larger} --reason growth"
    )));
    expect_that!(exit, eq(Exit::Invalid));
    expect_that!(
        printed,
        contains_substring("the platform holds 1048576; nothing was written")
    );
}

/// The next change must archive the record of the previous one, so a record that is too large for a
/// value would block every later change. JSON escapes each line end as two bytes, which makes the
/// record larger than the text.
#[gtest]
fn a_change_whose_record_is_too_large_to_archive_is_rejected() {
    let fixture = CliFixture::new();
    let lines = ";\n".repeat(450_000);
    let file = fixture.save_document("lines.ini", |text| format!("{text}\n[pool lines]\n{lines}"));
    let (exit, printed) = fixture.run(&split_words(&format!("config put {file} --reason lines")));
    expect_that!(exit, eq(Exit::Invalid));
    expect_that!(
        printed,
        contains_substring("the platform holds 1048576; nothing was written")
    );
    let next = "config edit ranks --set floor=11 --reason next";
    expect_that!(fixture.run(&split_words(next)).0, eq(Exit::Done));
}
