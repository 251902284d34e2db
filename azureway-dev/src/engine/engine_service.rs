//! An engine over HTTP.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::chat::{ChatRequest, Usage, UsageDetails};
use azureway_wire::header;
use tiny_http::{Method, Request};

use super::{ChatEvent, EngineConfig, EngineState, Generation};
use crate::http::{EventWriter, Query, Reply, Service};

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    state: Mutex<EngineState>,
    changed: Condvar,
}

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

    /// Waits until no request runs.
    pub fn wait_idle(&self) {
        let busy = |s: &mut EngineState| s.running > 0;
        drop(self.changed.wait_while(self.lock(), busy));
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.change(|s| s.leaving = true);
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of requests that were ever taken.
    pub fn opened(&self) -> u64 {
        self.lock().opened
    }

    fn change(&self, change: impl FnOnce(&mut EngineState)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Waits for `time` of the engine's work. Returns whether the connection still lives.
    fn work(&self, life: Incarnation, opened: u64, time: Duration) -> bool {
        let alive = |s: &mut EngineState| s.incarnation == life;
        let wait = self.changed.wait_timeout_while(self.lock(), time, alive);
        let (state, _) = wait.unwrap_or_else(std::sync::PoisonError::into_inner);
        let silent = |s: &mut EngineState| s.incarnation == life && opened <= s.silent;
        // A silent connection stays so until the engine restarts.
        let state = self.changed.wait_while(state, silent);
        state
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .incarnation
            == life
    }

    fn news(&self, request: Request, query: &Query<'_>) {
        let (after, whole) = (query.number("after"), query.get("whole") == Some("true"));
        let wait = Duration::from_millis(query.number("wait_ms"));
        let quiet = |s: &mut EngineState| !whole && s.log.next() <= after;
        let waited = self.changed.wait_timeout_while(self.lock(), wait, quiet);
        let (state, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        let news = state.news(after, whole);
        drop(state);
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
        let salt = Salt::from_number(number(&request, header::SALT));
        let chain = chat.chain(salt);
        if self.lock().closed {
            return Reply::text(request, 500, "the engine is closed");
        }
        let Some((life, opened, cached)) = self.begin(&request, &chain) else {
            return Reply::text(request, 409, "the incarnation or the weights are others");
        };
        let generation = Generation::new(&chain, chat.max_tokens);
        let resume = u64::try_from(number(&request, header::RESUME)).unwrap_or(0);
        let id = Reply::header(&request, header::ATTEMPT)
            .unwrap_or("")
            .to_owned();
        let event = ChatEvent {
            id: &id,
            model: &chat.model,
        };
        let uncached = chain.tokens().saturating_sub(cached);
        if self.work(life, opened, self.config.prefill.time_for(uncached)) {
            self.change(|s| store(s, &chain));
            let usage = usage(&chain, cached, generation);
            self.stream(request, event, generation, resume, (life, opened), usage);
        }
        self.change(|s| end(s, life, uncached));
    }

    /// Takes a request in if the engine is what the entry expects.
    fn begin(
        &self,
        request: &Request,
        chain: &BlockChain,
    ) -> Option<(Incarnation, u64, TokenCount)> {
        let weights = number(request, header::WEIGHTS);
        let expected = Reply::header(request, header::INCARNATION).and_then(|v| v.parse().ok());
        let mut state = self.lock();
        let fits = u128::from(state.weights.get()) == weights
            && expected.is_none_or(|e: u64| e == state.incarnation.get());
        if !fits {
            return None;
        }
        let cached = state.cache.held(chain.blocks());
        state.running += 1;
        state.opened += 1;
        state.pending += chain.tokens().saturating_sub(cached);
        Some((state.incarnation, state.opened, cached))
    }

    fn stream(
        &self,
        request: Request,
        event: ChatEvent<'_>,
        generation: Generation,
        resume: u64,
        (life, opened): (Incarnation, u64),
        usage: Usage,
    ) {
        let Ok(mut writer) = EventWriter::new(request) else {
            return;
        };
        let mut position = resume;
        while let Some(token) = generation.token(position) {
            if writer.event(position, &event.token(&token)).is_err() {
                return;
            }
            position += 1;
            if !self.work(life, opened, self.config.interval) {
                return;
            }
        }
        let length = generation.length().get();
        let last = [
            (length, event.finish(usage)),
            (length + 1, "[DONE]".to_owned()),
        ];
        let rest = last.iter().filter(|(at, _)| *at >= resume);
        if rest
            .into_iter()
            .all(|(at, data)| writer.event(*at, data).is_ok())
        {
            let _ = writer.end();
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
            _ => Reply::text(request, 404, "no such path"),
        }
    }
}

fn number(request: &Request, name: &str) -> u128 {
    Reply::header(request, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

fn store(state: &mut EngineState, chain: &BlockChain) {
    let ops = state.cache.store(chain.blocks());
    state.log.extend(ops);
}

fn end(state: &mut EngineState, life: Incarnation, uncached: TokenCount) {
    // After a restart the counts are those of another life.
    if state.incarnation == life {
        state.running -= 1;
        state.pending = state.pending.saturating_sub(uncached);
    }
}

fn usage(chain: &BlockChain, cached: TokenCount, generation: Generation) -> Usage {
    Usage {
        prompt_tokens: chain.tokens().get(),
        completion_tokens: generation.length().get(),
        prompt_details: UsageDetails {
            cached_tokens: cached.get(),
        },
    }
}
