//! Benchmarks of the configuration document at the planned fleet size.

use std::fmt::Write as _;

use azureway_config::document;
use azureway_core::config::{Delta, Sections};
use azureway_core::prelude::*;
use divan::{Bencher, black_box};

/// The number of client accounts.
const ACCOUNTS: u32 = 350;
/// The number of model services.
const SERVICES: u32 = 23;
/// The number of backend servers.
const SERVERS: u32 = 1_600;

fn main() {
    divan::main();
}

/// Returns a configuration document of the planned size.
fn document_text() -> String {
    let mut text = String::from("[ranks]\nfloor = 10\n\n[pool engines]\nloads = 2\n");
    for number in 0..SERVICES {
        let _ = write!(text, "\n[service model-{number:02}]\npool = engines\n");
    }
    for number in 0..SERVERS {
        let (high, low) = (number / 250, number % 250);
        let _ = write!(
            text,
            "\n[server engine-{number:04}]\npool = engines\nzone = kranj-a\n\
             address = 10.0.{high}.{low}:8000\nslots = 16\nprefill = 12000\n"
        );
    }
    for number in 0..ACCOUNTS {
        let key = KeyHash::of(&api_key(number));
        let _ = write!(
            text,
            "\n[account client-{number:03}]\nlimit = 20000\nkeys = {key}\n"
        );
    }
    text
}

fn api_key(number: u32) -> String {
    format!("key of client {number}")
}

/// Parses and validates the document, as each entry instance does on every change.
#[divan::bench]
fn parse(bencher: Bencher<'_, '_>) {
    let text = document_text();
    bencher.bench_local(|| document::parse(black_box(&text), ConfigVersion::new(1)).is_ok());
}

/// Computes the difference between two versions of the document, as the command line does.
#[divan::bench]
fn difference(bencher: Bencher<'_, '_>) {
    let old = document_text();
    let new = old.replace(
        "[account client-007]\nlimit = 20000",
        "[account client-007]\nlimit = 9",
    );
    bencher.bench_local(|| {
        let (old, new) = (
            Sections::parse(black_box(&old)),
            Sections::parse(black_box(&new)),
        );
        assert_eq!(Delta::between(&old, &new).changes().len(), 1);
    });
}

/// Looks up the client account of an API key, as for every request.
#[divan::bench]
fn account(bencher: Bencher<'_, '_>) {
    let fleet = document::parse(&document_text(), ConfigVersion::new(1)).expect("a valid document");
    let key = KeyHash::of(&api_key(17));
    bencher.bench_local(|| fleet.account_of(black_box(&key)).is_some());
}
