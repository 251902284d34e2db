//! An engine over HTTP.

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::chat::ChatRequest;
use azureway_wire::engine::KvBlocks;
use tiny_http::{Method, Request};

use super::{ChatRun, EngineConfig, EngineState, LoadRun, Terms, Ticket};
use crate::http::{EventWriter, Query, Reply, Service};

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    state: Mutex<EngineState>,
    changed: Condvar,
}

/// The limit of an import from another engine, in seconds.
const IMPORT_TIMEOUT: u64 = 5;

impl Engine {
    /// Creates an engine.
    pub fn new(config: EngineConfig) -> Self {
        let state = Mutex::new(EngineState::new(&config));
        Self {
            config,
            state,
            changed: Condvar::new(),
        }
    }

    /// Returns the size and speed.
    pub const fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Crashes and comes back with an empty cache. Streams break.
    pub fn crash(&self) {
        self.change(EngineState::restart);
    }

    /// Lets every open connection go silent for good. New ones work.
    pub fn silence(&self) {
        self.change(|s| s.silent = s.opened);
    }

    /// Loses the oldest cache events that nobody has fetched yet.
    pub fn lose_events(&self, count: usize) {
        self.change(|s| s.log.lose(count));
    }

    /// Refuses new requests with an error, or takes them again.
    pub fn close(&self, closed: bool) {
        self.change(|s| s.closed = closed);
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.change(|s| s.leaving = true);
    }

    /// Waits until no request runs.
    pub fn wait_idle(&self) {
        self.wait_while(|s| s.running > 0);
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().incarnation
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of requests that were ever taken.
    pub fn opened(&self) -> u64 {
        self.lock().opened
    }

    /// Changes the state and tells whoever waits for it.
    pub fn change<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits while `holds`, and for `time` at most.
    pub fn wait(&self, time: Duration, holds: impl FnMut(&mut EngineState) -> bool) {
        drop(self.changed.wait_timeout_while(self.lock(), time, holds));
    }

    /// Waits while `holds`.
    pub fn wait_while(&self, holds: impl FnMut(&mut EngineState) -> bool) {
        drop(self.changed.wait_while(self.lock(), holds));
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        // A thread that panicked while it held the lock has already failed its test.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers with the load and the cache events, both as late as the engine reports them.
    fn news(&self, request: Request, query: &Query<'_>) {
        let (after, whole) = (query.number("after"), query.get("whole") == Some("true"));
        let wait = Duration::from_millis(query.number("wait_ms"));
        self.wait(wait, |s| !whole && s.log.next() <= after);
        let news = self.lock().news(after, whole);
        let life = self.incarnation();
        self.wait(self.config.lag, |s| s.incarnation == life);
        Reply::json(request, 200, &news);
    }

    fn chat(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return Reply::text(request, 400, "the body cannot be read");
        }
        let Ok(chat) = serde_json::from_slice::<ChatRequest<'_>>(&body) else {
            return Reply::text(request, 400, "the body is no chat-completions request");
        };
        let terms = Terms::new(&request);
        let chain = chat.chain(terms.salt);
        if self.lock().closed {
            return Reply::text(request, 500, "the engine is closed");
        }
        if let Some(from) = terms.import {
            self.import(from, &chain, &terms);
        }
        let Some(ticket) = self.begin(&terms, &chain) else {
            return Reply::text(request, 409, "the incarnation or the weights are others");
        };
        match EventWriter::new(request, &terms.id) {
            Ok(writer) => {
                let run = ChatRun::new(self, writer, &terms, &chain, ticket);
                run.run(&chat.model, chat.max_tokens);
            }
            Err(_) => self.change(|s| s.leave(&ticket, ticket.uncached)),
        }
    }

    /// Takes a request in if the engine is what the entry expects.
    fn begin(&self, terms: &Terms, chain: &BlockChain) -> Option<Ticket> {
        self.change(|s| s.fits(terms).then(|| s.enter(terms, chain)))
    }

    /// Answers with the blocks that are asked for and held.
    fn export(&self, mut request: Request) {
        let Ok(wanted) = serde_json::from_reader::<_, KvBlocks>(request.as_reader()) else {
            return Reply::text(request, 400, "the body is no list of blocks");
        };
        Reply::json(request, 200, &self.lock().export(&wanted));
    }

    /// Fetches blocks from another engine. Without them the prompt is computed.
    fn import(&self, from: SocketAddr, chain: &BlockChain, terms: &Terms) {
        let wanted = KvBlocks::new(terms.weights, chain.blocks());
        let Ok(body) = serde_json::to_string(&wanted) else {
            return;
        };
        let url = format!("http://{from}/v1/kv/export");
        let answer = minreq::post(url)
            .with_timeout(IMPORT_TIMEOUT)
            .with_body(body)
            .send();
        let blocks = answer
            .ok()
            .and_then(|a| serde_json::from_slice(a.as_bytes()).ok());
        if let Some(blocks) = blocks {
            self.change(|s| s.import(&blocks, chain));
        }
    }
}

impl Service for Engine {
    fn answer(&self, request: Request) {
        let url = request.url().to_owned();
        let query = Query::new(&url);
        match (request.method().clone(), query.path) {
            (Method::Get, "/v1/news") => self.news(request, &query),
            (Method::Post, "/v1/chat/completions") => self.chat(request),
            (Method::Post, "/v1/kv/export") => self.export(request),
            (Method::Post, "/v1/orders") => LoadRun::new(self).run(request),
            _ => Reply::text(request, 404, "no such path"),
        }
    }
}
