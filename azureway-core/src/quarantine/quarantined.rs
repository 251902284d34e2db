//! The requests that backend servers broke under.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CrashSite, Strike, StrikeSet, StrikeState, SuspectStatus};
use crate::domain::{Fingerprint, Incarnation, ServerId, Timestamp};

/// The requests that backend servers broke under, by fingerprint.
///
/// One strike makes a request a suspect, two at different sites quarantine it. A strike is
/// confirmed when its server is heard with a greater incarnation, and cleared when it is
/// heard with the same one or when the request runs well.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, StrikeSet>,
    /// The servers whose next words can still settle a strike.
    open: BTreeSet<ServerId>,
    /// The sites that a quarantined request accounts for, with the end of its quarantine.
    explained: BTreeMap<CrashSite, Timestamp>,
}

/// How long a strike holds.
const STRIKE_TIME: Duration = Duration::from_secs(600);
/// How long an unproved strike counts at a server that tells no incarnation.
const PATIENCE: Duration = Duration::from_secs(60);
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
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        let Some(record) = self.records.get(fingerprint) else {
            return SuspectStatus::Clear;
        };
        match record.status(PATIENCE, now) {
            SuspectStatus::Suspect if self.is_explained(record, now) => SuspectStatus::Clear,
            standing => standing,
        }
    }

    /// Returns the number of requests that stand so.
    pub fn count(&self, standing: SuspectStatus, now: Timestamp) -> usize {
        let all = self.records.keys();
        all.filter(|f| self.status(f, now) == standing).count()
    }

    /// Notes that a request was running when a server broke, and returns the strike.
    pub fn add_strike(
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
        if strike.state.is_unresolved() {
            self.open.insert(strike.site.server.clone());
        }
        if strike.state == StrikeState::Cleared {
            self.explained.remove(&strike.site);
        }
        let record = self.records.entry(strike.fingerprint).or_default();
        let fresh = record.merge(strike, now);
        if fresh && self.status(&strike.fingerprint, now) == SuspectStatus::Quarantined {
            self.explain(&strike.fingerprint, now);
        }
        fresh
    }

    /// Notes that a request ran well, and returns the strikes that this clears.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Timestamp) -> Vec<Strike> {
        let Some(record) = self.records.get(fingerprint) else {
            return Vec::new();
        };
        let sites = record.active().map(|(site, ..)| site.clone()).collect();
        self.settle(*fingerprint, sites, StrikeState::Cleared, now)
    }

    /// Notes that a server was heard with an incarnation, and returns the strikes that this
    /// confirms or clears.
    pub fn observe_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Vec<Strike> {
        let mut changed = Vec::new();
        if !self.open.contains(server) {
            return changed;
        }
        let prints: Vec<_> = self.records.keys().copied().collect();
        for print in prints {
            let record = &self.records[&print];
            let judged = record.active().filter(|(site, ..)| site.server == *server);
            let judged = judged.filter_map(|e| verdict(e, incarnation, now));
            let judged: Vec<_> = judged.collect();
            for (site, state) in judged {
                changed.extend(self.settle(print, vec![site], state, now));
            }
        }
        if !self.has_open(server) {
            self.open.remove(server);
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

    fn has_open(&self, server: &ServerId) -> bool {
        let open = |r: &StrikeSet| {
            r.active()
                .any(|(site, state, _)| state.is_unresolved() && site.server == *server)
        };
        self.records.values().any(open)
    }

    /// Notes that a quarantined request accounts for the sites of its strikes. Those who were
    /// there keep their strikes, since another one of them may be the culprit.
    fn explain(&mut self, culprit: &Fingerprint, now: Timestamp) {
        let until = now + STRIKE_TIME;
        let sites = self.records[culprit].active();
        let sites = sites.map(|(site, ..)| (site.clone(), until));
        self.explained.extend(sites);
    }

    /// Tells whether a quarantined request accounts for every strike of a suspect.
    fn is_explained(&self, record: &StrikeSet, now: Timestamp) -> bool {
        let known = |site| self.explained.get(site).is_some_and(|until| *until > now);
        record.active().all(|(site, ..)| known(site))
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
        self.explained.retain(|_, until| *until > now);
        if self.records.len() < RECORDS_MAX {
            return;
        }
        let free = |r: &StrikeSet| r.status(PATIENCE, now) != SuspectStatus::Quarantined;
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
    if !state.is_unresolved() || site.incarnation == Incarnation::ZERO {
        return None;
    }
    if incarnation > site.incarnation {
        return Some((site.clone(), StrikeState::Confirmed));
    }
    let alive = incarnation == site.incarnation && now.since(since) > REPORT_LAG;
    alive.then(|| (site.clone(), StrikeState::Cleared))
}
