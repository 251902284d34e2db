//! Dating the changes in an answer by the answers to the watches of other kinds, and telling until when changes
//! are known.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use azureway_wire::object::{ObjectBody, ObjectList};

use super::{SiteCodec, SiteKind, SiteUpdate, SiteWatcher};
use crate::zone::ReadTimes;

/// The longest wait of a watch whose end dates the changes of other kinds. A longer watch may have
/// been cut off long before its answer was read.
const MAX_WAIT: Duration = Duration::from_secs(2);

impl<A: ObjectApi, C: SiteCodec> SiteWatcher<A, C> {
    /// Returns the earliest time at which the changes in the answer to `call` can have happened, by
    /// what the platform has answered to watches of any kind.
    ///
    /// A list, and a watch after a failure, may hold only the last of several changes of an object,
    /// of which the first is not dated by the last.
    pub(super) fn reported_since(&self, call: &AnsweredCall, list: &ObjectList) -> Timestamp {
        if self.after.is_none() || call.wait.is_zero() || call.is_late() {
            return Timestamp::ZERO;
        }
        let (reports, era) = (self.lock_reports(), self.api.era());
        let since = |o: &ObjectBody| reports.since(era, o.version).unwrap_or(Timestamp::ZERO);
        let earliest = list.objects.iter().map(since).min();
        earliest.unwrap_or(Timestamp::ZERO)
    }

    /// Records the answer to `call` for the watches of the other kinds.
    pub(super) fn record_report(&self, call: &AnsweredCall, list: &ObjectList) {
        let until = match call.wait <= MAX_WAIT {
            true => self.times.until,
            false => call.started,
        };
        self.lock_reports()
            .record(self.api.era(), list.version, until);
    }

    /// Sends the time until which the list of servers, or what is known of named weights, is complete.
    pub(super) fn send_until(&self) -> bool {
        let ReadTimes {
            until, recovered, ..
        } = self.times;
        match self.kind {
            SiteKind::Servers => self.send(SiteUpdate::ListedUntil(until, recovered)),
            SiteKind::Weights => self.send(SiteUpdate::NamedUntil(until)),
            SiteKind::Document | SiteKind::Quarantines => true,
        }
    }

    fn lock_reports(&self) -> MutexGuard<'_, ReportTimes> {
        // The record is whole even if a thread panicked while it held the lock.
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
