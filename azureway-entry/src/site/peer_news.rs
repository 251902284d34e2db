//! Reading the platform through other entries.

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;

use super::{SiteCodec, SiteWatcher};
use crate::zone::ZoneChanges;

impl<A: ObjectApi, C: SiteCodec> SiteWatcher<A, C> {
    /// Asks a reader of the zone.
    pub(super) fn ask_zone(&mut self, after: u64) -> Option<(Timestamp, ZoneChanges)> {
        let zone = self.zone.as_mut()?;
        zone.ask(self.kind, self.api.era(), after, self.lost, self.clock)
    }

    /// Handles the answer of a reader of the zone to a request that was sent at `asked`. Returns whether
    /// the site duty still receives updates.
    pub(super) fn handle_changes(
        &mut self,
        changes: &ZoneChanges,
        after: u64,
        asked: Timestamp,
    ) -> bool {
        let now = self.clock.now();
        // The platform has answered the reader since. This entry alone was turned away.
        self.peer_until = Some(changes.known_until(asked));
        self.record_recovery(now);
        self.schedule
            .record_success(changes.list.version.max(after), now);
        self.schedule.record_changes(0);
        let sent = self.apply_changes(changes, asked);
        if let Some(zone) = &mut self.zone {
            zone.check_age(self.kind, self.times.until, now);
        }
        sent
    }

    /// Reads from another entry what the platform has told it since calls fail here. Returns whether the
    /// site duty still receives updates.
    pub(super) fn read_from_peer(&mut self) -> bool {
        let (Some(zone), Some(after), Some(lost)) =
            (&mut self.zone, self.schedule.version(), self.lost)
        else {
            return true;
        };
        self.peer_until = None;
        let answer = zone.ask_other(self.kind, self.api.era(), after, lost, self.clock);
        let Some((asked, changes)) = answer else {
            return true;
        };
        self.peer_until = Some(changes.known_until(asked));
        self.schedule
            .record_relayed(changes.list.version.max(after));
        self.after = (!changes.whole).then_some(after);
        self.apply_changes(&changes, asked)
    }

    /// Passes on what another entry answered to a request that was sent at `asked`. Returns whether the
    /// site duty still receives updates.
    fn apply_changes(&mut self, changes: &ZoneChanges, asked: Timestamp) -> bool {
        let (answered, until) = (changes.answered(asked), changes.known_until(asked));
        // Calls that failed here do not show that the platform was disturbed for others.
        let _ = self.disturbances.record_success();
        let since = changes.changed.map(|ago| answered.before(ago));
        self.times.since = self.bound.record_relayed(until, since);
        self.times.until = self.bound.reported_until();
        let recovered = changes.recovered.map(|ago| answered.before(ago));
        self.times.recovered = self.times.recovered.max(recovered);
        self.send_updates(&changes.list) && self.send_until()
    }
}
