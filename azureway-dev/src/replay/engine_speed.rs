//! The speed of an engine.

use std::time::Duration;

/// The speed of an engine that batches continuously: it works in steps, and each step
/// computes one token of every answer and a chunk of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// The requests that run at once.
    pub slots: usize,
    /// The prompt tokens that a step computes at most.
    pub chunk_tokens: u64,
    /// The time of a step.
    pub base_time: Duration,
    /// The time that each running request adds to a step.
    pub sequence_time: Duration,
    /// The time of a prompt token.
    pub token_time: Duration,
    /// The time to load weights.
    pub base_load: Duration,
    /// The engines that load at once without slowing each other down.
    pub parallel_loads: u32,
}

impl EngineSpeed {
    /// Creates the speed of 16 slots, 512 prompt tokens a step of at most 58 ms, and 0.6 s
    /// to load weights while at most two engines load.
    pub const fn new() -> Self {
        Self {
            slots: 16,
            chunk_tokens: 512,
            base_time: Duration::from_millis(10),
            sequence_time: Duration::from_millis(1),
            token_time: Duration::from_nanos(62_500),
            base_load: Duration::from_millis(600),
            parallel_loads: 2,
        }
    }

    /// Returns the time of a step with `running` requests and `prompt` prompt tokens.
    pub fn step_time(&self, running: usize, prompt: u64) -> Duration {
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
        self.base_time + self.sequence_time * running + self.token_time * prompt
    }

    /// Returns the time to load weights while `loading` engines load, this one among them.
    pub fn load_time(&self, loading: u32) -> Duration {
        self.base_load * loading.div_ceil(self.parallel_loads).max(1)
    }
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self::new()
    }
}
