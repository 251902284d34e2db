//! Starting and stopping one feed reader for each model engine of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use azureway_core::prelude::*;
use flume::Sender;

use super::{FeedBudget, FeedReader, FeedSource, ReaderControl, Subscribe};
use crate::decide::DecideMessage;
use crate::memory::CallMemory;

/// The threads that read feeds, one for each model engine of the configuration.
#[derive(Debug)]
pub struct FeedReaders<S> {
    source: S,
    decide: Sender<DecideMessage>,
    budget: Arc<FeedBudget>,
    seed: u64,
    controls: BTreeMap<ServerId, Arc<ReaderControl>>,
    audience: Option<FeedAudience>,
    memory: CallMemory,
}

/// The stack size of a reader thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

impl<S: FeedSource> FeedReaders<S> {
    /// Creates an empty set whose threads poll `source` within `budget` and send updates to
    /// `decide`. `seed` randomizes retries and differs between instances.
    pub fn new(source: S, decide: Sender<DecideMessage>, budget: FeedBudget, seed: u64) -> Self {
        Self {
            source,
            decide,
            budget: Arc::new(budget),
            seed,
            controls: BTreeMap::new(),
            audience: None,
            memory: CallMemory::default(),
        }
    }

    /// Sets the memory that the answers of all servers take until they are applied.
    #[must_use]
    pub fn with_memory(mut self, memory: CallMemory) -> Self {
        self.memory = memory;
        self
    }

    /// Starts the reader of a server, which waits until `held` if the server asked for a pause.
    fn start(&mut self, server: &BackendServer, held: Option<Instant>) {
        let control = Arc::new(ReaderControl::new(server.address));
        control.set_listed(server.listed.map_or(Incarnation::ZERO, |l| l.incarnation));
        if let Some(until) = held {
            control.hold(until);
        }
        let reader = FeedReader::new(
            self.source.clone(),
            server.id.clone(),
            Arc::clone(&control),
            self.decide.clone(),
            Arc::clone(&self.budget),
            self.seed,
        )
        .with_memory(self.memory.clone());
        let thread = thread::Builder::new()
            .name("news".to_owned())
            .stack_size(STACK_SIZE);
        match thread.spawn(move || reader.run()) {
            Ok(_) => {
                self.controls.insert(server.id.clone(), control);
            }
            Err(e) => {
                log::error!(step = "news", peer:% = server.id, error:% = e; "cannot start a feed reader")
            }
        }
    }
}

impl<S: FeedSource> Subscribe for FeedReaders<S> {
    /// Starts and stops threads so that each model engine of `fleet` whose feed this entry reads has
    /// exactly one reader.
    fn reconfigure(&mut self, fleet: &Fleet, held: &[(ServerId, Instant)]) {
        let engines = engines(fleet, self.audience.as_ref());
        self.controls.retain(|id, control| {
            let kept = engines
                .iter()
                .any(|s| s.id == *id && s.address == control.address());
            if !kept {
                control.stop();
            }
            kept
        });
        for server in engines {
            let listed = server.listed.map_or(Incarnation::ZERO, |l| l.incarnation);
            if let Some(control) = self.controls.get(&server.id) {
                control.set_listed(listed);
            }
            if !self.controls.contains_key(&server.id) {
                let hold = held.iter().find(|(id, _)| *id == server.id);
                self.start(server, hold.map(|(_, until)| *until));
            }
        }
    }

    fn set_audience(
        &mut self,
        audience: FeedAudience,
        fleet: &Fleet,
        held: &[(ServerId, Instant)],
    ) {
        self.audience = Some(audience);
        self.reconfigure(fleet, held);
        log::info!(step = "news", read = self.controls.len(), servers = fleet.servers.len(); "the feeds that are read here were selected");
    }

    fn resync(&self, server: &ServerId) {
        if let Some(control) = self.controls.get(server) {
            control.resync();
        }
    }

    fn hold(&self, server: &ServerId, until: Instant) {
        if let Some(control) = self.controls.get(server) {
            control.hold(until);
        }
    }

    fn stop(&self) {
        self.controls.values().for_each(|c| c.stop());
    }
}

/// Returns the backend servers whose pool serves a model, as far as this entry reads their feeds.
fn engines<'a>(fleet: &'a Fleet, audience: Option<&FeedAudience>) -> Vec<&'a BackendServer> {
    let is_read = |server: &&BackendServer| {
        let of_pool = |m: &&ModelService| m.pool == server.pool && m.kind == ServiceKind::Model;
        let mut services = fleet.services.values().filter(of_pool);
        services.any(|service| match service.feed_limit {
            Some(limit) => audience.is_some_and(|a| a.includes(server, limit)),
            None => true,
        })
    };
    fleet.servers.values().filter(is_read).collect()
}
