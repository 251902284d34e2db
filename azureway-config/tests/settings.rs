//! Tests of the settings of an entry daemon: faults, and the table in the operators' guide.

use azureway_config::document::SectionEdit;
use azureway_config::settings;
use googletest::prelude::*;

/// Valid settings. The line numbers in the table of faults refer to this text.
const VALID: [&str; 2] = [
    "[entry]\ninstance = kranj-a-1\nzone = kranj-a\nlisten = 10.0.0.4:8080\n\
     peer = 10.0.0.4:8081\nplatform = 10.0.0.1:7000",
    "[bounds]\nring = 64",
];

/// Returns the valid settings with one change, written as in the table.
fn with_change(change: &str) -> String {
    let mut sections = VALID.map(SectionEdit::new);
    let section_index = |section: &str| usize::from(section.trim_start_matches('-') != "entry");
    if let Some(header) = change.strip_prefix('+') {
        return format!("{}\n{header}\n", VALID.join("\n"));
    }
    let (section, entry) = change.split_once('.').expect("a section and a key");
    let edit = sections[section_index(section)].clone();
    sections[section_index(section)] = match entry.split_once(" = ") {
        Some((key, value)) => edit.with_entry(key, value),
        None => edit.without_entry(entry),
    };
    sections.map(|s| s.text()).join("\n")
}

fn faults(text: &str) -> String {
    settings::parse(text).map_or_else(|faults| faults.to_string(), |_| "good".to_owned())
}

#[gtest]
fn changed_settings_give_the_faults_of_the_table() {
    for line in include_str!("../testdata/settings.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let (change, expected) = line.split_once(" | ").expect("two cells");
        expect_that!(
            faults(&with_change(change)),
            contains_substring(expected),
            "{line}"
        );
    }
}

#[gtest]
fn faults_do_not_contain_secrets() {
    let text = with_change("entry.operator = sekrit");
    expect_that!(faults(&text), not(contains_substring("sekrit")));
}

/// Checks the table of bounds in the operators' guide, whose rows have the form
/// `| key | unit | default | lowest | highest | meaning |`.
#[gtest]
fn the_operators_guide_states_the_actual_bounds() {
    let page = include_str!("../../docs/OPERATIONS.md");
    let (_, table) = page
        .split_once("| key | unit |")
        .expect("the table of bounds");
    let rows = table.lines().skip(2).take_while(|l| l.starts_with('|'));
    let mut count = 0;
    for row in rows {
        let cells: Vec<&str> = row.split('|').map(|c| c.trim().trim_matches('`')).collect();
        let parse =
            |value: i128| settings::parse(&with_change(&format!("bounds.{} = {value}", cells[1])));
        let number = |cell: usize| {
            cells[cell]
                .replace(' ', "")
                .parse::<i128>()
                .expect("a number")
        };
        expect_that!(parse(number(4)).is_ok(), eq(true), "{row}");
        expect_that!(parse(number(5)).is_ok(), eq(true), "{row}");
        expect_that!(parse(number(4) - 1).is_ok(), eq(false), "{row}");
        expect_that!(parse(number(5) + 1).is_ok(), eq(false), "{row}");
        // Setting a key to its default changes nothing.
        let (explicit, implicit) = (
            parse(number(3)),
            settings::parse(&with_change("-bounds.none")),
        );
        if cells[1] != "ring" {
            expect_that!(
                explicit.expect("good"),
                eq(&implicit.expect("good")),
                "{row}"
            );
        }
        count += 1;
    }
    expect_that!(count, eq(BOUNDS_KEYS));
}

/// The number of keys of the `[bounds]` section.
const BOUNDS_KEYS: usize = 13;

/// Checks the values that are read from a valid `[site]` section, then replaces one value per row
/// and checks the fault.
#[gtest]
fn site_settings_are_read_and_checked() {
    let good = "[site]\nready = 10.0.0.4:9000\nretries = 0.2\nslack = 52\ngrace = 8";
    let parse = |extra: &str| settings::parse(&format!("{}\n{extra}\n", VALID.join("\n")));
    let read = parse(&format!("{good}\n[zone a]\nregion = r")).expect("good settings");
    let site = read.site.expect("a site");
    expect_that!((site.retry_percent, site.retry_slack), eq((20, 52)));
    expect_that!(site.zones.len(), eq(1));
    expect_that!(site.shutdown_grace.as_secs(), eq(8));
    // The platform may state any of its figures as a fraction. Counts are rounded down.
    let fractions = good.replace("slack = 52", "slack = 38.0392\nterm = 2500.5\nsettle = 0.5");
    let fractions = fractions.replace("grace = 8", "grace = 7.5\nwindow = 9.25");
    let read = parse(&fractions).expect("good settings");
    let site = read.site.expect("a site");
    expect_that!(site.retry_slack, eq(38));
    expect_that!(site.lease_term.as_micros(), eq(2_500_500));
    expect_that!(site.startup_grace.as_micros(), eq(500));
    expect_that!(site.shutdown_grace.as_millis(), eq(7_500));
    expect_that!(site.retry_window.as_millis(), eq(9_250));
    let rows = [
        (
            "retries = 0.2",
            "retries = 2",
            "retries: expected a share from 0 to 1",
        ),
        (
            "ready = 10.0.0.4:9000",
            "ready = nowhere",
            "ready: expected an IP address",
        ),
        ("slack = 52", "slack = -1", "slack"),
        ("slack = 52", "slack = NaN", "slack"),
        ("grace = 8", "grace = inf", "grace"),
        ("grace = 8", "gracious = 8", "gracious"),
    ];
    for (from, to, fault) in rows {
        let faults =
            parse(&good.replace(from, to)).map_or_else(|f| f.to_string(), |_| String::new());
        expect_that!(faults, contains_substring(fault), "{to}");
    }
}
