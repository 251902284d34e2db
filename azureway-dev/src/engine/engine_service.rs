//! The HTTP interface of the simulated engine.

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::chat::ChatRequest;
use azureway_wire::engine::KvBlocks;
use tiny_http::{Method, Request};

use super::{
    AcceptedRequest, ChatHandler, EngineConfig, EngineState, OrderHandler, RequestMetadata,
};
use crate::http::{EventWriter, Query, Reply, RequestHandler};

/// A simulated model engine that serves HTTP.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    state: Mutex<EngineState>,
    changed: Condvar,
}

/// The time that the engine waits for blocks from another engine, in seconds.
const IMPORT_TIMEOUT: u64 = 5;

impl Engine {
    /// Creates an engine with an empty cache.
    pub fn new(config: EngineConfig) -> Self {
        let state = Mutex::new(EngineState::new(&config));
        Self {
            config,
            state,
            changed: Condvar::new(),
        }
    }

    /// Returns the size and speed of the engine.
    pub const fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Restarts the engine as after a crash: streams break and the cache is empty.
    pub fn crash(&self) {
        self.update(EngineState::restart);
    }

    /// Stalls every open connection: it stays open but nothing more is sent on it. Connections that
    /// are opened later work.
    pub fn stall_connections(&self) {
        self.update(|s| s.stalled = s.accepted_count);
    }

    /// Drops the `count` oldest cache events that are kept, so that a later poll misses them.
    pub fn drop_events(&self, count: usize) {
        self.update(|s| s.log.drop_oldest(count));
    }

    /// Sets whether new chat requests are refused with status 500.
    pub fn set_rejecting(&self, rejecting: bool) {
        self.update(|s| s.rejecting = rejecting);
    }

    /// Refuses new chat requests from now on, until the engine restarts, and asks for a pause with
    /// the text `pause`.
    pub fn ask_pause(&self, pause: &str) {
        self.update(|s| s.pause = Some(pause.into()));
    }

    /// Returns the number of chat requests that arrived so far, refused ones included.
    pub fn arrival_count(&self) -> u64 {
        self.lock().arrival_count
    }

    /// Reports from now on that the engine is shutting down.
    pub fn start_draining(&self) {
        self.update(|s| s.leaving = true);
    }

    /// Says from now on in the heads of its answers alone that the engine is shutting down, as long
    /// as its reports lag.
    pub fn start_announcing(&self) {
        self.update(|s| s.announcing = true);
    }

    /// Waits until no request is running.
    pub fn wait_idle(&self) {
        self.wait_while(|s| s.running > 0);
    }

    /// Returns the incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().incarnation
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of requests accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.lock().accepted_count
    }

    /// Applies `change` to the state, wakes all waiting threads and returns its result.
    pub fn update<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits while `condition` is true, but for `time` at most.
    pub fn wait_timeout(&self, time: Duration, condition: impl FnMut(&mut EngineState) -> bool) {
        drop(
            self.changed
                .wait_timeout_while(self.lock(), time, condition),
        );
    }

    /// Waits while `condition` is true.
    pub fn wait_while(&self, condition: impl FnMut(&mut EngineState) -> bool) {
        drop(self.changed.wait_while(self.lock(), condition));
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        // A thread that panics while it holds the lock has already failed its test.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a poll with the load and the cache events, after the delay of reports.
    fn handle_poll(&self, request: Request, query: &Query<'_>) {
        let (after, snapshot) = (query.number("after"), query.get("whole") == Some("true"));
        let wait = Duration::from_millis(query.number("wait_ms"));
        self.wait_timeout(wait, |s| !snapshot && s.log.next() <= after);
        let report = self.lock().report(after, snapshot);
        let incarnation = self.incarnation();
        self.wait_timeout(self.config.report_delay, |s| s.incarnation == incarnation);
        Reply::json(request, 200, &report);
    }

    fn handle_chat(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return Reply::text(request, 400, "the body cannot be read");
        }
        let Ok(chat) = serde_json::from_slice::<ChatRequest<'_>>(&body) else {
            return Reply::text(request, 400, "the body is not a chat-completions request");
        };
        let metadata = RequestMetadata::new(&request);
        let prompt = chat.prompt_blocks(metadata.salt);
        self.update(|s| s.arrival_count += 1);
        let (rejecting, pause) = self.refusal();
        if let Some(pause) = pause {
            return Reply::pause(request, &pause);
        }
        let leaving = self.lock().leaving_incarnation();
        if rejecting {
            return Reply::rejection(request, 500, "the engine rejects chat requests", leaving);
        }
        if let Some(from) = metadata.import_from {
            self.import_blocks(from, &prompt, &metadata);
        }
        let Some(accepted) = self.accept(&metadata, &prompt) else {
            return Reply::rejection(
                request,
                409,
                "the incarnation or the weights differ",
                leaving,
            );
        };
        match EventWriter::new(request, &metadata.attempt_id, leaving) {
            Ok(writer) => {
                let handler = ChatHandler::new(self, writer, &metadata, &prompt, accepted);
                handler.run(&chat.model, chat.max_tokens);
            }
            Err(_) => self.update(|s| s.remove(&accepted, accepted.uncached)),
        }
    }

    /// Returns whether chat requests are refused, and the pause that is asked for with that.
    fn refusal(&self) -> (bool, Option<Box<str>>) {
        let state = self.lock();
        (state.rejecting, state.pause.clone())
    }

    /// Accepts a request if the engine has the incarnation and weights that it requires.
    fn accept(&self, metadata: &RequestMetadata, prompt: &PromptBlocks) -> Option<AcceptedRequest> {
        self.update(|s| s.matches(metadata).then(|| s.enqueue(metadata, prompt)))
    }

    /// Answers with those of the requested blocks that are cached.
    fn handle_export(&self, mut request: Request) {
        let Ok(requested) = serde_json::from_reader::<_, KvBlocks>(request.as_reader()) else {
            return Reply::text(request, 400, "the body is not a list of blocks");
        };
        Reply::json(request, 200, &self.lock().export(&requested));
    }

    /// Imports blocks from another engine. If that fails, the prompt is computed instead.
    fn import_blocks(&self, from: SocketAddr, prompt: &PromptBlocks, metadata: &RequestMetadata) {
        let requested = KvBlocks::new(metadata.weights, prompt.blocks());
        let Ok(body) = serde_json::to_string(&requested) else {
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
            self.update(|s| s.import(&blocks, prompt));
        }
    }
}

impl RequestHandler for Engine {
    fn handle(&self, request: Request) {
        let url = request.url().to_owned();
        let query = Query::new(&url);
        match (request.method().clone(), query.path) {
            (Method::Get, "/v1/news") => self.handle_poll(request, &query),
            (Method::Post, "/v1/chat/completions") => self.handle_chat(request),
            (Method::Post, "/v1/kv/export") => self.handle_export(request),
            (Method::Post, "/v1/orders") => OrderHandler::new(self).run(request),
            _ => Reply::text(request, 404, "no such path"),
        }
    }
}
