//! The commands `account add-key` and `account remove-key`.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::SectionEdit;
use azureway_core::prelude::KeyHash;
use clap::ArgMatches;

use super::update;
use crate::printer::Printer;
use crate::report::KeyReport;
use crate::{Exit, Failure, random};

/// The length of an API key in bytes.
const KEY_BYTES: usize = 32;
/// The least number of leading hexadecimal digits that may select a digest.
const MIN_PREFIX_DIGITS: usize = 6;

/// Generates an API key, prints it and stores its digest.
pub(super) fn add<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let key = random::hex::<KEY_BYTES>().context("generate an API key")?;
    // The key is printed before its digest is stored: if printing failed after the write, the
    // document would hold the digest of a key that nobody knows.
    printer.print(&KeyReport::new(&key))?;
    let digest = KeyHash::of(&key).to_string();
    update(matches, &mut printer, |edit| {
        let keys: Vec<&str> = digests(&edit).chain([digest.as_str()]).collect();
        let keys = keys.join(", ");
        Ok(Some(edit.with_entry("keys", &keys)))
    })
}

/// Returns the section without the keys whose digests begin with the prefix that the command names.
/// Fails if the prefix is too short or no digest begins with it.
pub(super) fn remove(edit: SectionEdit, matches: &ArgMatches) -> Result<SectionEdit> {
    let prefix: &String = matches.get_one("digest").context("no digest given")?;
    let kept: Vec<&str> = digests(&edit)
        .filter(|d| !d.starts_with(&**prefix))
        .collect();
    if prefix.len() < MIN_PREFIX_DIGITS || kept.len() == digests(&edit).count() {
        let detail =
            format!("no key has a digest that begins with `{prefix}`; give at least 6 digits");
        return Err(Failure::new(Exit::NotFound, detail).into());
    }
    let kept = kept.join(", ");
    Ok(match kept.is_empty() {
        true => edit.without_entry("keys"),
        false => edit.with_entry("keys", &kept),
    })
}

/// Returns the digests of the section's keys.
fn digests(edit: &SectionEdit) -> impl Iterator<Item = &str> {
    let keys = edit.get("keys").unwrap_or_default().split(',');
    keys.map(str::trim).filter(|k| !k.is_empty())
}
