//! Computes how long the steps and weight loads of a simulated engine take.

use std::time::Duration;

/// The speed of a simulated engine with continuous batching.
///
/// Each step generates one token of every prefilled request and computes a chunk of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// The number of requests that run at once.
    pub slots: usize,
    /// The maximum number of prompt tokens in a step.
    pub chunk_tokens: u64,
    /// The fixed part of the duration of a step.
    pub base_time: Duration,
    /// The time that each running request adds to a step.
    pub sequence_time: Duration,
    /// The time that each prompt token adds to a step.
    pub token_time: Duration,
    /// The time to load weights without contention.
    pub base_load: Duration,
    /// The number of engines that can load at once without slowing each other down.
    pub parallel_loads: u32,
}

impl EngineSpeed {
    /// Creates a speed of 16 slots, 512 prompt tokens per step, steps of at most 58 ms, and 0.6 s
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

    /// Returns the duration of a step with `running` requests and `prompt` prompt tokens.
    pub fn step_time(&self, running: usize, prompt: u64) -> Duration {
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
        self.base_time + self.sequence_time * running + self.token_time * prompt
    }

    /// Returns the time to load weights while `loading` engines load, including this one.
    pub fn load_time(&self, loading: u32) -> Duration {
        self.base_load * loading.div_ceil(self.parallel_loads).max(1)
    }
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self::new()
    }
}
