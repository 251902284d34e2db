//! The hearing threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use azureway_core::prelude::*;
use flume::Sender;

use super::{FeedReader, FeedSource, ReaderControl, Subscribe};
use crate::decide::DecideMessage;

/// The hearing threads, one for each model engine of the configuration.
#[derive(Debug)]
pub struct FeedReaders<L> {
    link: L,
    decide: Sender<DecideMessage>,
    listening: BTreeMap<ServerId, Arc<ReaderControl>>,
}

/// The stack of a hearing thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

impl<L: FeedSource> FeedReaders<L> {
    /// Creates an empty set whose threads subscribe through `link` and report to `decide`.
    pub const fn new(link: L, decide: Sender<DecideMessage>) -> Self {
        Self {
            link,
            decide,
            listening: BTreeMap::new(),
        }
    }

    fn start(&mut self, server: &BackendServer) {
        let listening = Arc::new(ReaderControl::new(server.address));
        listening.list(server.listed.map_or(Incarnation::ZERO, |l| l.incarnation));
        let reader = FeedReader::new(
            self.link.clone(),
            server.id.clone(),
            Arc::clone(&listening),
            self.decide.clone(),
        );
        let thread = thread::Builder::new()
            .name("news".to_owned())
            .stack_size(STACK_SIZE);
        match thread.spawn(move || reader.run()) {
            Ok(_) => {
                self.listening.insert(server.id.clone(), listening);
            }
            Err(e) => log::error!(step = "news", peer:% = server.id, error:% = e; "no thread"),
        }
    }
}

impl<L: FeedSource> Subscribe for FeedReaders<L> {
    /// Starts and stops threads so that each model engine of `fleet` is heard.
    fn reconfigure(&mut self, fleet: &Fleet) {
        let engines = engines(fleet);
        self.listening.retain(|id, listening| {
            let kept = engines
                .iter()
                .any(|s| s.id == *id && s.address == listening.address());
            if !kept {
                listening.stop();
            }
            kept
        });
        for server in engines {
            let listed = server.listed.map_or(Incarnation::ZERO, |l| l.incarnation);
            if let Some(listening) = self.listening.get(&server.id) {
                listening.list(listed);
            }
            if !self.listening.contains_key(&server.id) {
                self.start(server);
            }
        }
    }

    fn resync(&self, server: &ServerId) {
        if let Some(listening) = self.listening.get(server) {
            listening.resync();
        }
    }

    fn stop(&self) {
        self.listening.values().for_each(|l| l.stop());
    }
}

/// Returns the servers whose pool serves a model.
fn engines(fleet: &Fleet) -> Vec<&BackendServer> {
    let serves = |s: &&BackendServer| {
        let of_pool = |m: &ModelService| m.pool == s.pool && m.kind == ServiceKind::Model;
        fleet.services.values().any(of_pool)
    };
    fleet.servers.values().filter(serves).collect()
}
