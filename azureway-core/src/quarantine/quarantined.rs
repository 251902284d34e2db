//! The requests that backend servers broke under.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashSite, Record, Standing, Strike, StrikeState};
use crate::domain::{Fingerprint, Incarnation, ServerId, Timestamp};

/// The requests that backend servers broke under, by fingerprint.
///
/// One strike makes a request a suspect, two at different sites quarantine it. A strike is
/// confirmed when its server is heard with a greater incarnation, and cleared when it is
/// heard with the same one or when the request runs well.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
}

/// How long a strike holds.
const STRIKE_TIME: Duration = Duration::from_secs(600);
/// How long a strike counts that is neither confirmed nor cleared: longer than a server's news
/// may be missing, which is the longest wait between two calls and the lag of its reports.
const PATIENCE: Duration = Duration::from_secs(20);
/// How far a report may lag. A report that comes later than this after a strike is newer.
const REPORT_LAG: Duration = Duration::from_secs(5);
/// The requests that are kept at most.
const RECORDS_MAX: usize = 4_096;

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how a request stands.
    pub fn standing(&self, fingerprint: &Fingerprint, now: Timestamp) -> Standing {
        self.records
            .get(fingerprint)
            .map_or(Standing::Clear, |r| r.standing(PATIENCE, now))
    }

    /// Notes that a request was running when a server broke, and returns the strike.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        site: CrashSite,
        state: StrikeState,
        now: Timestamp,
    ) -> Strike {
        let strike = Strike::new(fingerprint, site, state, STRIKE_TIME);
        self.merge(&strike, now);
        strike
    }

    /// Takes in a strike, its own or a peer's. Returns whether it was new.
    pub fn merge(&mut self, strike: &Strike, now: Timestamp) -> bool {
        self.make_room(now);
        let record = self.records.entry(strike.fingerprint).or_default();
        let fresh = record.merge(strike, now);
        if fresh && self.standing(&strike.fingerprint, now) == Standing::Quarantined {
            self.explain(&strike.fingerprint, now);
        }
        fresh
    }

    /// Notes that a request ran well, and returns the strikes that this clears.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Timestamp) -> Vec<Strike> {
        let Some(record) = self.records.get(fingerprint) else {
            return Vec::new();
        };
        let sites = record.open().map(|(site, ..)| site.clone()).collect();
        self.settle(*fingerprint, sites, StrikeState::Cleared, now)
    }

    /// Notes that a server was heard with an incarnation, and returns the strikes that this
    /// confirms or clears.
    pub fn hear(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Vec<Strike> {
        let mut changed = Vec::new();
        let prints: Vec<_> = self.records.keys().copied().collect();
        for print in prints {
            let record = &self.records[&print];
            let judged = record.open().filter(|(site, ..)| site.server == *server);
            let judged = judged.filter_map(|e| verdict(e, incarnation, now));
            let judged: Vec<_> = judged.collect();
            for (site, state) in judged {
                changed.extend(self.settle(print, vec![site], state, now));
            }
        }
        changed
    }

    /// Returns the number of requests with strikes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request has strikes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Clears those whose only strike is at a site that a quarantined request accounts for.
    fn explain(&mut self, culprit: &Fingerprint, now: Timestamp) {
        let sites: Vec<_> = self.records[culprit].open().map(|e| e.0.clone()).collect();
        let others: Vec<_> = self.records.keys().copied().collect();
        for print in others.into_iter().filter(|p| p != culprit) {
            if self.standing(&print, now) != Standing::Suspect {
                continue;
            }
            let open = self.records[&print].open().map(|e| e.0.clone());
            let known = open.filter(|s| sites.contains(s)).collect();
            self.settle(print, known, StrikeState::Cleared, now);
        }
    }

    fn settle(
        &mut self,
        fingerprint: Fingerprint,
        sites: Vec<CrashSite>,
        state: StrikeState,
        now: Timestamp,
    ) -> Vec<Strike> {
        let strikes = sites
            .into_iter()
            .map(|site| Strike::new(fingerprint, site, state, STRIKE_TIME));
        let strikes: Vec<_> = strikes.collect();
        strikes.into_iter().filter(|s| self.merge(s, now)).collect()
    }

    /// Drops what no longer holds, and at the bound a request that is not quarantined.
    fn make_room(&mut self, now: Timestamp) {
        if self.records.len() < RECORDS_MAX {
            return;
        }
        self.records.retain(|_, r| r.prune(now));
        if self.records.len() < RECORDS_MAX {
            return;
        }
        let free = |r: &Record| r.standing(PATIENCE, now) != Standing::Quarantined;
        let victim = self.records.iter().find(|(_, r)| free(r));
        let victim = victim.or(self.records.iter().next()).map(|(p, _)| *p);
        if let Some(victim) = victim {
            self.records.remove(&victim);
        }
    }
}

/// Judges an open strike by the incarnation that its server was heard with.
fn verdict(
    (site, state, since): (&CrashSite, StrikeState, Timestamp),
    incarnation: Incarnation,
    now: Timestamp,
) -> Option<(CrashSite, StrikeState)> {
    if state != StrikeState::Unproved || site.incarnation == Incarnation::ZERO {
        return None;
    }
    if incarnation > site.incarnation {
        return Some((site.clone(), StrikeState::Confirmed));
    }
    let alive = incarnation == site.incarnation && now.since(since) > REPORT_LAG;
    alive.then(|| (site.clone(), StrikeState::Cleared))
}
