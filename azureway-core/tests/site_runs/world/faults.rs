//! The faults of a run, and the operations of operators and servers.

use std::time::Duration;

use azureway_core::prelude::*;
use proptest::test_runner::TestCaseError;

use super::{ENTRIES, READ_GAP, World};
use crate::entry::Entry;
use crate::server::Server;

/// The lifetime of a server's registration without a heartbeat.
const REGISTRATION_TTL: Duration = Duration::from_secs(3);
/// The time for which a server is down after a crash.
const RESTART_TIME: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn crash(&mut self, which: usize) -> Result<(), TestCaseError> {
        self.last_id += 1;
        let server = &mut self.servers[which];
        server.cached.clear();
        server.incarnation = self.last_id;
        server.down_until = Some(self.now + RESTART_TIME);
        let id = server.id.clone();
        self.store.servers.remove(&id);
        self.fail_server(&id)
    }

    pub(super) fn start_leaving(&mut self, which: usize) -> Result<(), TestCaseError> {
        if !self.store.unavailable {
            let server = &mut self.servers[which];
            server.leaving = true;
            self.store.mark_leaving(&server.id, self.now);
        }
        Ok(())
    }

    /// Replaces a server by another one with the same address.
    pub(super) fn replace(&mut self, which: usize) -> Result<(), TestCaseError> {
        if self.store.unavailable {
            return Ok(());
        }
        self.last_id += 1;
        let name = format!("r-{}", self.last_id);
        let new = Server::new(&name, which + 1, self.last_id, self.store.named.0);
        let old = std::mem::replace(&mut self.servers[which], new);
        self.store.servers.remove(&old.id);
        let server = &self.servers[which];
        self.store
            .servers
            .insert(server.id.clone(), server.listed());
        self.fail_server(&old.id)
    }

    pub(super) fn load_weights(&mut self, which: usize) -> Result<(), TestCaseError> {
        let newest = self.store.named.0;
        let server = &mut self.servers[which];
        if server.weights < newest && server.down_until.is_none() {
            server.weights = newest;
            server.cached.clear();
        }
        Ok(())
    }

    /// Makes the store unavailable for so long that all its listed servers expire.
    pub(super) fn expire_list(&mut self) -> Result<(), TestCaseError> {
        self.store.unavailable = true;
        let start = self.now;
        while self.now.since(start) < REGISTRATION_TTL {
            self.advance(READ_GAP)?;
        }
        self.store.servers.clear();
        Ok(())
    }

    pub(super) fn reconnect(&mut self) -> Result<(), TestCaseError> {
        self.store.unavailable = false;
        self.entries.iter_mut().for_each(|e| e.cut_off = false);
        // Servers that are up are listed again with their next heartbeat, after time has advanced.
        Ok(())
    }

    pub(super) fn restart(&mut self, at: usize) -> Result<(), TestCaseError> {
        let epoch = self.entries[at].epoch;
        let records = self.records.values_mut();
        let own = records.filter(|r| r.epoch == epoch);
        own.for_each(|r| r.ended = true);
        self.running.retain(|(a, _)| *a != at);
        self.last_id += 1;
        self.entries[at] = Entry::new(100 + self.last_id, ENTRIES as u32, self.now);
        self.read(at)
    }

    pub(super) fn disconnect(&mut self, which: usize) -> Result<(), TestCaseError> {
        let open = self.records.iter().filter(|(_, r)| !r.ended);
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        let Some(index) = which.checked_rem(open.len()) else {
            return Ok(());
        };
        let id = open[index];
        let epoch = self.records[&id].epoch;
        self.mark_ended(id);
        self.running.retain(|(_, d)| d.attempt.id != id);
        match self.entries.iter().position(|e| e.epoch == epoch) {
            Some(at) => self.handle(at, Event::CallerDisconnected(id)),
            None => Ok(()),
        }
    }

    pub(super) fn break_connection(
        &mut self,
        which: usize,
        events: u64,
    ) -> Result<(), TestCaseError> {
        let Some((at, dispatch)) = self.take_running(which) else {
            return Ok(());
        };
        if let Some(record) = self.records.get_mut(&dispatch.attempt.id) {
            record.received += events;
        }
        self.fail(at, &dispatch, FailureKind::Broken, SendState::MaybeRun)
    }
}
