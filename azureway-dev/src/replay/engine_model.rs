//! The engine of the replay, which advances in steps of virtual time.

use std::time::Duration;

use azureway_core::prelude::{
    Attempt, CacheOp, Incarnation, LoadReport, ServerId, Timestamp, TokenCount, WeightsVersion,
    ZoneId,
};

use super::{EngineSpeed, EngineUpdate, GeneratedToken, Owner, PrefixCache, Task};

/// A simulated model engine with continuous batching, a prefix cache, priorities and crashes.
///
/// Its state is the truth that the load estimates and the cache index of the core approximate.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// The name of the engine.
    pub id: ServerId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The loaded weights version.
    pub weights: WeightsVersion,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// The time at which the engine started to drain, if it did.
    pub leaving: Option<Timestamp>,
    /// The prefix cache.
    pub cache: PrefixCache,
    speed: EngineSpeed,
    running: Vec<Task>,
    waiting: Vec<Task>,
    chunk: Option<(usize, u64)>,
    in_step: bool,
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
            in_step: false,
            ops: Vec::new(),
            reported: 0,
        }
    }

    /// Returns the speed of the engine.
    pub const fn speed(&self) -> EngineSpeed {
        self.speed
    }

    /// Returns whether the engine accepts tasks for a weights version.
    pub fn accepts_weights(&self, weights: WeightsVersion) -> bool {
        self.up && !self.loading && self.weights == weights
    }

    /// Adds a task to the waiting queue.
    pub fn push(&mut self, task: Task) {
        // The queue is ordered by rank, urgent before drafting, and by arrival within a rank.
        let index = self.waiting.partition_point(|t| t.rank <= task.rank);
        self.waiting.insert(index, task);
    }

    /// Starts a step and returns its duration, or `None` if a step is in progress, the engine is
    /// down or there is no task.
    pub fn begin_step(&mut self) -> Option<Duration> {
        if self.in_step || !self.up {
            return None;
        }
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.chunk = self.next_chunk();
        self.in_step = true;
        let prompt = self.chunk.map_or(0, |(_, tokens)| tokens);
        Some(self.speed.step_time(self.running.len(), prompt))
    }

    /// Ends a step and appends the tokens that it generated to `out`. Returns whether one of its
    /// tasks crashes the engine.
    pub fn end_step(&mut self, out: &mut Vec<GeneratedToken>) -> bool {
        self.in_step = false;
        if self.running.iter().any(|t| t.poison) {
            return true;
        }
        self.compute_chunk();
        let prefilled = self.running.iter_mut().filter(|t| t.is_prefilled());
        out.extend(prefilled.map(generate_token));
        self.running.retain(|t| !t.is_done());
        false
    }

    /// Cancels the task of an attempt.
    pub fn cancel(&mut self, attempt: Attempt) {
        let is_other = |t: &Task| t.owner != Owner::Entry(attempt);
        self.waiting.retain(is_other);
        // The step in progress refers to running tasks by index, so the task is only marked as
        // done and leaves when the step ends.
        if let Some(task) = self.running.iter_mut().find(|t| !is_other(t)) {
            task.owner = Owner::Peer;
            task.output = task.position;
        }
    }

    /// Crashes the engine and returns the tasks that were lost.
    pub fn crash(&mut self) -> Vec<Task> {
        self.up = false;
        self.in_step = false;
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

    /// Switches to a weights version and evicts the cache, since its blocks belong to the old one.
    pub fn load(&mut self, weights: WeightsVersion) {
        self.loading = false;
        self.weights = weights;
        let evicted: Vec<_> = self.cache.keys().map(CacheOp::Evicted).collect();
        self.ops.extend(evicted);
        self.cache.clear();
    }

    /// Returns the current load and the cache events since the last call.
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

    /// Returns the current load and the complete content of the cache.
    pub fn snapshot(&self) -> EngineUpdate {
        // Pending events remain queued and are reported after the snapshot. They repeat changes
        // that it contains.
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
            pace: None,
            server: self.id.clone(),
            incarnation: self.incarnation,
            weights: self.weights,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pending: TokenCount::new(all.map(|t| t.pending).sum()),
            leaving: self.leaving.is_some(),
        }
    }

    /// Moves waiting tasks into free slots.
    fn admit(&mut self) {
        while self.running.len() < self.speed.slots && !self.waiting.is_empty() {
            let mut task = self.waiting.remove(0);
            let blocks = task.prompt.blocks();
            task.cached = self.cache.cached_tokens(blocks).get();
            self.cache.mark_used(blocks);
            let uncached = task.prompt.tokens().get() - task.cached;
            // At least the last prompt token is computed, since the first answer token needs it.
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
            self.cache.store(task.prompt.blocks(), &mut self.ops);
        }
    }
}

/// Generates the next token of an answer.
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
