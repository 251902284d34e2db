//! A small model of a model engine.

use std::time::Duration;

use azureway_core::prelude::{
    Attempt, CacheOp, Incarnation, LoadReport, ServerId, Timestamp, TokenCount, WeightsVersion,
    ZoneId,
};

use super::{EngineSpeed, EngineUpdate, GeneratedToken, Owner, PrefixCache, Task};

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
    running: Vec<Task>,
    waiting: Vec<Task>,
    chunk: Option<(usize, u64)>,
    stepping: bool,
    ops: Vec<CacheOp>,
    reported: u64,
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
            running: Vec::new(),
            waiting: Vec::new(),
            chunk: None,
            stepping: false,
            ops: Vec::new(),
            reported: 0,
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
        let index = self.waiting.partition_point(|t| t.rank <= task.rank);
        self.waiting.insert(index, task);
    }

    /// Begins a step, unless one is under way or there is nothing to do. Returns its time.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.stepping || !self.up {
            return None;
        }
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.chunk = self.next_chunk();
        self.stepping = true;
        let prompt = self.chunk.map_or(0, |(_, tokens)| tokens);
        Some(self.speed.step_time(self.running.len(), prompt))
    }

    /// Ends a step and appends the tokens that it computed. Returns whether a task in it
    /// crashes the engine.
    pub fn end_step(&mut self, out: &mut Vec<GeneratedToken>) -> bool {
        self.stepping = false;
        if self.running.iter().any(|t| t.poison) {
            return true;
        }
        self.compute_chunk();
        let prefilled = self.running.iter_mut().filter(|t| t.is_prefilled());
        out.extend(prefilled.map(generate_token));
        self.running.retain(|t| !t.is_done());
        false
    }

    /// Stops a try.
    pub fn cancel(&mut self, attempt: Attempt) {
        let other = |t: &Task| t.owner != Owner::Entry(attempt);
        self.waiting.retain(other);
        // A step that is under way refers to its tasks by index: the rest of it is computed.
        if let Some(task) = self.running.iter_mut().find(|t| !other(t)) {
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
        self.reported = 0;
        let mut tasks = std::mem::take(&mut self.running);
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
    pub fn take_update(&mut self) -> EngineUpdate {
        let ops = std::mem::take(&mut self.ops);
        let first = self.reported;
        self.reported += ops.len() as u64;
        EngineUpdate {
            load: self.report(),
            first,
            snapshot: false,
            ops,
        }
    }

    /// Returns the load and the whole content of the cache.
    pub fn snapshot(&self) -> EngineUpdate {
        // Events that are not yet told will be told again: they name what is held already.
        EngineUpdate {
            load: self.report(),
            first: self.reported,
            snapshot: true,
            ops: self.cache.keys().map(CacheOp::Stored).collect(),
        }
    }

    fn report(&self) -> LoadReport {
        let all = self.running.iter().chain(&self.waiting);
        LoadReport {
            server: self.id.clone(),
            incarnation: self.incarnation,
            weights: self.weights,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pending: TokenCount::new(all.map(|t| t.pending).sum()),
            leaving: self.leaving.is_some(),
        }
    }

    /// Moves tasks that wait into free slots.
    fn admit(&mut self) {
        while self.running.len() < self.speed.slots && !self.waiting.is_empty() {
            let mut task = self.waiting.remove(0);
            let blocks = task.chain.blocks();
            task.cached = self.cache.cached_tokens(blocks).get();
            self.cache.mark_used(blocks);
            let uncached = task.chain.tokens().get() - task.cached;
            // The last token of the prompt is always computed, since the answer starts there.
            task.pending = (uncached + task.position).max(1);
            self.running.push(task);
        }
    }

    fn next_chunk(&self) -> Option<(usize, u64)> {
        let tasks = self.running.iter().enumerate();
        let prefilling = tasks.filter(|(_, t)| !t.is_prefilled());
        let (index, task) = prefilling.min_by_key(|(index, t)| (t.rank, *index))?;
        Some((index, task.pending.min(self.speed.chunk_tokens)))
    }

    fn compute_chunk(&mut self) {
        let Some((index, tokens)) = self.chunk.take() else {
            return;
        };
        let task = &mut self.running[index];
        task.pending -= tokens;
        if task.is_prefilled() {
            self.cache.store(task.chain.blocks(), &mut self.ops);
        }
    }
}

/// Computes the next token of an answer.
fn generate_token(task: &mut Task) -> GeneratedToken {
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
