//! A small model of a model engine.

use std::time::Duration;

use azureway_core::prelude::{
    Attempt, CacheOp, Incarnation, LoadReport, ServerId, Timestamp, TokenCount, WeightsVersion,
    ZoneId,
};

use super::{EngineSpeed, GeneratedToken, News, Owner, PrefixCache, Task};

/// A small model of a model engine: it batches continuously, caches prefixes, honours
/// priorities and crashes. It is independent of what the core believes of it.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// The name.
    pub id: ServerId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The weights version that is loaded.
    pub weights: WeightsVersion,
    /// Whether the process runs.
    pub up: bool,
    /// Whether it is loading weights.
    pub loading: bool,
    /// Since when it is leaving, if it is.
    pub leaving: Option<Timestamp>,
    /// The cache.
    pub cache: PrefixCache,
    speed: EngineSpeed,
    tasks: Vec<Task>,
    waiting: Vec<Task>,
    chunk: Option<(usize, u64)>,
    stepping: bool,
    ops: Vec<CacheOp>,
    heard: u64,
}

impl EngineModel {
    /// Creates an engine with an empty cache of `blocks` blocks.
    pub fn new(id: ServerId, zone: ZoneId, speed: EngineSpeed, blocks: usize) -> Self {
        Self {
            id,
            zone,
            incarnation: Incarnation::new(1),
            weights: WeightsVersion::new(1),
            up: true,
            loading: false,
            leaving: None,
            cache: PrefixCache::new(blocks),
            speed,
            tasks: Vec::new(),
            waiting: Vec::new(),
            chunk: None,
            stepping: false,
            ops: Vec::new(),
            heard: 0,
        }
    }

    /// Returns the speed.
    pub const fn speed(&self) -> EngineSpeed {
        self.speed
    }

    /// Tells whether the engine takes a task of the given weights version.
    pub fn accepts_weights(&self, weights: WeightsVersion) -> bool {
        self.up && !self.loading && self.weights == weights
    }

    /// Adds a task.
    pub fn push(&mut self, task: Task) {
        // Work of one rank keeps its order; urgent work goes before drafting.
        let place = self.waiting.partition_point(|t| t.rank <= task.rank);
        self.waiting.insert(place, task);
    }

    /// Begins a step, unless one is under way or there is nothing to do. Returns its time.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.stepping || !self.up {
            return None;
        }
        self.admit();
        if self.tasks.is_empty() {
            return None;
        }
        self.chunk = self.next_chunk();
        self.stepping = true;
        let prompt = self.chunk.map_or(0, |(_, tokens)| tokens);
        Some(self.speed.time(self.tasks.len(), prompt))
    }

    /// Ends a step and appends the tokens that it computed. Returns whether a task in it
    /// crashes the engine.
    pub fn end_step(&mut self, out: &mut Vec<GeneratedToken>) -> bool {
        self.stepping = false;
        if self.tasks.iter().any(|t| t.poison) {
            return true;
        }
        self.compute_chunk();
        let ready = self.tasks.iter_mut().filter(|t| t.is_prefilled());
        out.extend(ready.map(emit));
        self.tasks.retain(|t| !t.is_done());
        false
    }

    /// Stops a try.
    pub fn cancel(&mut self, attempt: Attempt) {
        let other = |t: &Task| t.owner != Owner::Entry(attempt);
        self.waiting.retain(other);
        // A step that is under way refers to its tasks by place: the rest of it is computed.
        if let Some(task) = self.tasks.iter_mut().find(|t| !other(t)) {
            task.owner = Owner::Peer;
            task.output = task.position;
        }
    }

    /// Crashes and returns the tasks that were in the engine.
    pub fn crash(&mut self) -> Vec<Task> {
        self.up = false;
        self.stepping = false;
        self.loading = false;
        self.chunk = None;
        self.incarnation = self.incarnation.next();
        self.cache.clear();
        self.ops.clear();
        self.heard = 0;
        let mut tasks = std::mem::take(&mut self.tasks);
        tasks.append(&mut self.waiting);
        tasks
    }

    /// Takes over a version of the weights, under which nothing is cached.
    pub fn load(&mut self, weights: WeightsVersion) {
        self.loading = false;
        self.weights = weights;
        let evicted: Vec<_> = self.cache.keys().map(CacheOp::Evicted).collect();
        self.ops.extend(evicted);
        self.cache.clear();
    }

    /// Returns the load and the cache events since the last call.
    pub fn news(&mut self) -> News {
        let ops = std::mem::take(&mut self.ops);
        let first = self.heard;
        self.heard += ops.len() as u64;
        News {
            load: self.report(),
            first,
            whole: false,
            ops,
        }
    }

    /// Returns the load and the whole content of the cache.
    pub fn content(&self) -> News {
        // Events that are not yet told will be told again: they name what is held already.
        News {
            load: self.report(),
            first: self.heard,
            whole: true,
            ops: self.cache.keys().map(CacheOp::Stored).collect(),
        }
    }

    fn report(&self) -> LoadReport {
        let all = self.tasks.iter().chain(&self.waiting);
        LoadReport {
            server: self.id.clone(),
            incarnation: self.incarnation,
            weights: self.weights,
            running: u32::try_from(self.tasks.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pending: TokenCount::new(all.map(|t| t.pending).sum()),
            leaving: self.leaving.is_some(),
        }
    }

    /// Moves tasks that wait into free slots.
    fn admit(&mut self) {
        while self.tasks.len() < self.speed.slots && !self.waiting.is_empty() {
            let mut task = self.waiting.remove(0);
            let blocks = task.chain.blocks();
            task.cached = self.cache.held(blocks).get();
            self.cache.touch(blocks);
            let known = task.chain.tokens().get() - task.cached;
            // The last token of the prompt is always computed, since the answer starts there.
            task.pending = (known + task.position).max(1);
            self.tasks.push(task);
        }
    }

    fn next_chunk(&self) -> Option<(usize, u64)> {
        let tasks = self.tasks.iter().enumerate();
        let unready = tasks.filter(|(_, t)| !t.is_prefilled());
        let (place, task) = unready.min_by_key(|(place, t)| (t.rank, *place))?;
        Some((place, task.pending.min(self.speed.chunk)))
    }

    fn compute_chunk(&mut self) {
        let Some((place, tokens)) = self.chunk.take() else {
            return;
        };
        let task = &mut self.tasks[place];
        task.pending -= tokens;
        if task.is_prefilled() {
            self.cache.store(task.chain.blocks(), &mut self.ops);
        }
    }
}

/// Computes the next token of an answer.
fn emit(task: &mut Task) -> GeneratedToken {
    let first = task.position == task.resumed;
    task.position += 1;
    GeneratedToken {
        owner: task.owner,
        position: task.position,
        cached: task.cached,
        first,
        done: task.is_done(),
    }
}
