//! What befalls a site in a drawn run.

use std::time::Duration;

use azureway_core::prelude::*;
use proptest::test_runner::TestCaseError;

use super::{ENTRIES, READ_GAP, World};
use crate::entry::Entry;
use crate::replica::Replica;

/// How long an entry of the list lasts without a beat.
const LEASE: Duration = Duration::from_secs(3);
/// How long a crashed replica is down.
const DOWN: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn crash(&mut self, which: usize) -> Result<(), TestCaseError> {
        self.lives += 1;
        let replica = &mut self.replicas[which];
        replica.parts.clear();
        replica.life = self.lives;
        replica.down = Some(self.now + DOWN);
        let id = replica.id.clone();
        self.store.entries.remove(&id);
        self.fail_all(&id)
    }

    pub(super) fn leave(&mut self, which: usize) -> Result<(), TestCaseError> {
        if !self.store.away {
            let replica = &mut self.replicas[which];
            replica.leaving = true;
            self.store.leave(&replica.id, self.now);
        }
        Ok(())
    }

    /// Another replica takes the place and the address of one.
    pub(super) fn replace(&mut self, which: usize) -> Result<(), TestCaseError> {
        if self.store.away {
            return Ok(());
        }
        self.lives += 1;
        let name = format!("r-{}", self.lives);
        let next = Replica::new(&name, which + 1, self.lives, self.store.named.0);
        let old = std::mem::replace(&mut self.replicas[which], next);
        self.store.entries.remove(&old.id);
        let replica = &self.replicas[which];
        self.store
            .entries
            .insert(replica.id.clone(), replica.entry());
        self.fail_all(&old.id)
    }

    pub(super) fn load(&mut self, which: usize) -> Result<(), TestCaseError> {
        let newest = self.store.named.0;
        let replica = &mut self.replicas[which];
        if replica.weights < newest && replica.down.is_none() {
            replica.weights = newest;
            replica.parts.clear();
        }
        Ok(())
    }

    /// The store is away for so long that what it lists lapses.
    pub(super) fn lapse(&mut self) -> Result<(), TestCaseError> {
        self.store.away = true;
        let begun = self.now;
        while self.now.since(begun) < LEASE {
            self.pass(READ_GAP)?;
        }
        self.store.entries.clear();
        Ok(())
    }

    pub(super) fn come_back(&mut self) -> Result<(), TestCaseError> {
        self.store.away = false;
        self.entries.iter_mut().for_each(|e| e.away = false);
        // Whoever lives tells of itself again, once it has noticed: with the next step.
        Ok(())
    }

    pub(super) fn restart(&mut self, at: usize) -> Result<(), TestCaseError> {
        let epoch = self.entries[at].epoch;
        let records = self.records.values_mut();
        let own = records.filter(|r| r.epoch == epoch);
        own.for_each(|r| r.ended = true);
        self.running.retain(|(a, _)| *a != at);
        self.lives += 1;
        self.entries[at] = Entry::new(100 + self.lives, ENTRIES as u32, self.now);
        self.read(at)
    }

    pub(super) fn hang_up(&mut self, which: usize) -> Result<(), TestCaseError> {
        let live = self.records.iter().filter(|(_, r)| !r.ended);
        let live: Vec<_> = live.map(|(id, _)| *id).collect();
        let Some(place) = which.checked_rem(live.len()) else {
            return Ok(());
        };
        let id = live[place];
        let epoch = self.records[&id].epoch;
        self.end(id);
        self.running.retain(|(_, o)| o.attempt.id != id);
        match self.entries.iter().position(|e| e.epoch == epoch) {
            Some(at) => self.tell(at, Event::CallerDisconnected(id)),
            None => Ok(()),
        }
    }

    pub(super) fn break_off(&mut self, which: usize, events: u64) -> Result<(), TestCaseError> {
        let Some((at, order)) = self.pick(which) else {
            return Ok(());
        };
        if let Some(record) = self.records.get_mut(&order.attempt.id) {
            record.received += events;
        }
        self.fail(at, &order, FailureKind::Broken, SendState::MaybeRun)
    }
}
