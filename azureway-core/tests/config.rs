//! Tests of edits of the document: ownership, races, lost answers and the audit trail.

mod support_config;

use azureway_core::config::{ChangeTime, History, SectionView, Sections};
use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support_config::{Check, Race, Store, document, format_cell, metadata};

#[gtest]
fn edit_outcomes_match_the_table() {
    for line in include_str!("../testdata/edits.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let mut store = Store::new(&document(cells[3]));
        let version = if cells[3] == "-" { 0 } else { 1 };
        // A base that differs from the stored document is an older version.
        let older = u64::from(cells[0] != cells[3]);
        let base = Snapshot::new(ConfigVersion::new(version - older), &document(cells[0]));
        let mut edit = Edit::new(metadata("i", cells[1]), &base, &document(cells[2]), Check);
        store.finish(&mut edit);
        let outcome = match edit.outcome().expect("the edit has ended") {
            EditOutcome::Accepted(_) => format!("accepted {}", format_cell(store.text())),
            EditOutcome::Unchanged => "unchanged".to_owned(),
            EditOutcome::Conflict(changes) => format!("conflict {}", changes[0].name),
            EditOutcome::NotOwned(names) => format!("not owned {}", names.join(" ")),
            EditOutcome::Invalid(()) => "invalid".to_owned(),
            other => format!("{other:?}"),
        };
        expect_that!(outcome, eq(cells[4]), "{line}");
        let untouched = format_cell(store.text()) == format_cell(&document(cells[3]));
        expect_that!(untouched, eq(!cells[4].starts_with("accepted")), "{line}");
    }
}

/// Three operators race on three sections for up to 120 steps, in 600 schedules from the seed
/// 20261204. Answers are lost, writes are delayed and writers stop; every accepted change must
/// still be written exactly once and have its record.
#[gtest]
fn racing_edits_apply_and_record_every_accepted_change_once() {
    let mut seed = [0; 32];
    seed[..4].copy_from_slice(&20_261_204_u32.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let (mut accepted, mut lost) = (0, 0);
    let drawn = runner.run(&vec(0_u16..u16::MAX, 20..120), |schedule| {
        let mut race = Race::new(3);
        schedule.iter().for_each(|draw| race.step(*draw));
        race.finish();
        race.check()
            .map_err(proptest::test_runner::TestCaseError::fail)
    });
    expect_that!(drawn, ok(anything()));
    // A fixed set of schedules checks that edits are accepted and answers are lost often enough.
    for start in 0..200_u16 {
        let mut race = Race::new(3);
        (0..100).for_each(|n: u16| {
            race.step(
                start
                    .wrapping_mul(7_919)
                    .wrapping_add(n.wrapping_mul(40_503)),
            )
        });
        race.finish();
        accepted += race.accepted();
        lost += race.lost();
    }
    expect_that!(accepted, gt(200));
    expect_that!(lost, gt(200));
}

#[gtest]
fn the_record_survives_a_writer_that_stops_after_its_write() {
    let mut store = Store::new(&document("a:x:1"));
    let base = store.snapshot();
    let mut stopped = Edit::new(metadata("first", "x"), &base, &document("a:x:2"), Check);
    while !matches!(stopped.step(), EditStep::Write(_)) {
        store.carry_out(&mut stopped);
    }
    store.lose_next_answer();
    store.carry_out(&mut stopped);
    drop(stopped);
    let mut next = Edit::new(
        metadata("second", "x"),
        &store.snapshot(),
        &document("a:x:3"),
        Check,
    );
    store.finish(&mut next);
    let ids: Vec<_> = store
        .history()
        .iter()
        .map(|c| c.record.metadata.id.to_string())
        .collect();
    expect_that!(ids, eq(&vec!["first".to_owned(), "second".to_owned()]));
}

#[gtest]
fn an_old_version_is_rebuilt_from_the_audit_trail() {
    let mut store = Store::new(&document("a:x:1 b:x:1"));
    for (id, text) in [
        ("1", "a:x:2 b:x:1"),
        ("2", "a:x:2 c:x:1"),
        ("3", "a:x:4 b:x:9 c:x:1"),
    ] {
        let mut edit = Edit::new(metadata(id, "x"), &store.snapshot(), &document(text), Check);
        store.finish(&mut edit);
    }
    let (history, current) = (store.history(), store.snapshot());
    let second = history.iter().next().map(|c| c.version).expect("a change");
    let text = |version| history.rewind(&current, version).map(|t| format_cell(&t));
    expect_that!(text(ConfigVersion::new(1)), some(eq("a:x:1 b:x:1")));
    expect_that!(text(second), some(eq("a:x:2 b:x:1")));
    expect_that!(History::new().rewind(&current, second), none());
}

#[gtest]
fn an_edit_ends_unavailable_or_unknown_if_the_store_never_answers() {
    let base = Snapshot::new(ConfigVersion::new(1), &document("a:x:1"));
    let mut unavailable = Edit::new(metadata("i", "x"), &base, &document("a:x:2"), Check);
    while unavailable.outcome().is_none() {
        unavailable.handle(EditReply::Failed);
    }
    expect_that!(unavailable.outcome(), some(eq(&EditOutcome::Unavailable)));
    let mut unknown = Edit::new(metadata("i", "x"), &base, &document("a:x:2"), Check);
    unknown.handle(EditReply::Read(base.clone()));
    unknown.handle(EditReply::NoAnswer);
    while unknown.outcome().is_none() {
        unknown.handle(EditReply::Failed);
    }
    expect_that!(unknown.outcome(), some(eq(&EditOutcome::Unknown)));
}

#[gtest]
fn comments_above_a_header_belong_to_its_section() {
    let text = "; the file\n\n; of retail\n[account a]\nteam = retail\n\n[ranks]\n";
    let sections = Sections::parse(text);
    let all: Vec<SectionView<'_>> = sections.iter().collect();
    expect_that!(all[0].text, eq("; the file"));
    expect_that!(all[1].text, eq("; of retail\n[account a]\nteam = retail"));
    expect_that!(all[1].team(), eq("retail"));
    expect_that!(all[2].team(), eq("operators"));
}

#[gtest]
fn only_newer_versions_are_accepted_and_each_is_judged_once() {
    let mut gate = VersionGate::new();
    gate.accept(ConfigVersion::new(5));
    expect_that!(gate.is_newer(ConfigVersion::new(4)), eq(false));
    gate.reject(ConfigVersion::new(6));
    expect_that!(gate.is_newer(ConfigVersion::new(6)), eq(false));
    expect_that!(gate.rejected(), some(eq(ConfigVersion::new(6))));
    gate.accept(ConfigVersion::new(7));
    expect_that!(gate.rejected(), none());
    gate.accept(ConfigVersion::new(6));
    expect_that!(gate.accepted(), eq(ConfigVersion::new(7)));
}

#[gtest]
fn times_are_formatted_in_utc() {
    let cases = [
        (0, "1970-01-01T00:00:00Z"),
        (951_782_400, "2000-02-29T00:00:00Z"),
        (1_796_371_078, "2026-12-04T07:57:58Z"),
        (4_107_542_399, "2100-02-28T23:59:59Z"),
        (4_107_542_400, "2100-03-01T00:00:00Z"),
    ];
    for (seconds, text) in cases {
        expect_that!(ChangeTime::new(seconds).to_string(), eq(text));
    }
}
