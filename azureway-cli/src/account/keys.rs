//! `account add-key` and `account remove-key`.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::SectionEdit;
use azureway_core::prelude::KeyHash;
use clap::ArgMatches;

use super::update;
use crate::printer::Printer;
use crate::report::KeyReport;
use crate::{Exit, Failure, random};

/// The bytes of an API key.
const KEY_BYTES: usize = 32;
/// The fewest digits that name a digest.
const MIN_PREFIX_DIGITS: usize = 6;

/// Makes a key, prints it and stores its digest.
pub(super) fn add<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let key = random::hex::<KEY_BYTES>().context("draw an API key")?;
    // Printed before it is stored: a key that nobody has seen would be of no use.
    printer.print(&KeyReport::new(&key))?;
    let digest = KeyHash::of(&key).to_string();
    update(matches, &mut printer, |edit| {
        let keys: Vec<&str> = digests(&edit).chain([digest.as_str()]).collect();
        let keys = keys.join(", ");
        Ok(Some(edit.with_entry("keys", &keys)))
    })
}

/// Returns the section without the keys that the command names.
pub(super) fn remove(edit: SectionEdit, matches: &ArgMatches) -> Result<SectionEdit> {
    let prefix: &String = matches.get_one("digest").context("name a digest")?;
    let kept: Vec<&str> = digests(&edit)
        .filter(|d| !d.starts_with(&**prefix))
        .collect();
    if prefix.len() < MIN_PREFIX_DIGITS || kept.len() == digests(&edit).count() {
        let detail =
            format!("no key has a digest that begins with `{prefix}`; name 6 digits or more");
        return Err(Failure::new(Exit::NotFound, detail).into());
    }
    let kept = kept.join(", ");
    Ok(match kept.is_empty() {
        true => edit.without_entry("keys"),
        false => edit.with_entry("keys", &kept),
    })
}

fn digests(edit: &SectionEdit) -> impl Iterator<Item = &str> {
    let keys = edit.get("keys").unwrap_or_default().split(',');
    keys.map(str::trim).filter(|k| !k.is_empty())
}
