//! Rebuilding earlier versions of the document, on which edits are based.

use anyhow::Result;
use azureway_core::config::{History, Snapshot};
use azureway_core::prelude::ConfigVersion;

use crate::session::{Session, now};
use crate::{Exit, Failure};

/// The number of days of the audit trail that are read to rebuild an earlier version.
const MAX_REWIND_DAYS: u32 = 31;

/// Returns the document at `version`, rebuilt from the current one by undoing the later changes of
/// the audit trail. Fails if a change that it needs is not found there.
pub(super) fn snapshot_at(session: &Session, current: &Snapshot, version: u64) -> Result<Snapshot> {
    let (version, store) = (ConfigVersion::new(version), session.store());
    let (mut history, mut day) = (History::new(), now());
    current
        .last_change()
        .into_iter()
        .for_each(|c| history.insert(c));
    let days = if version > current.version {
        0
    } else {
        MAX_REWIND_DAYS
    };
    for _ in 0..days {
        if let Some(text) = history.rewind(current, version) {
            return Ok(Snapshot::new(version, &text));
        }
        store.add_day(day, &mut history)?;
        day = day.day_before();
    }
    let detail = format!(
        "version {version} cannot be rebuilt from the audit trail of {MAX_REWIND_DAYS} days; get \
         the document again and repeat the edit"
    );
    Err(Failure::new(Exit::NotFound, detail).into())
}
