//! What became of prompts.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use super::FinishedRequest;

/// What became of the tokens of prompts. The prefix hit rate is `cached_tokens` over
/// `prompt_tokens`.
#[derive(Debug)]
pub struct PromptMetrics {
    prompt: Counter,
    cached: Counter,
    recomputed: Counter,
    output: Counter,
}

impl PromptMetrics {
    /// Creates the measures and registers them.
    pub fn new(r: &mut Registry) -> Self {
        let measures = Self {
            prompt: Counter::default(),
            cached: Counter::default(),
            recomputed: Counter::default(),
            output: Counter::default(),
        };
        r.register(
            "prompt_tokens",
            "Tokens of prompts",
            measures.prompt.clone(),
        );
        let help = "Prompt tokens that the backend server found in its cache";
        r.register("cached_tokens", help, measures.cached.clone());
        let help = "Prompt tokens that were expected_cached cached and computed again";
        r.register("recomputed_tokens", help, measures.recomputed.clone());
        r.register(
            "output_tokens",
            "Tokens of answers",
            measures.output.clone(),
        );
        measures
    }

    /// Notes a request that was answered completely.
    pub fn finish(&self, served: &FinishedRequest) {
        self.prompt.inc_by(served.prompt.get());
        self.cached.inc_by(served.cached.get());
        let missed = served.expected_cached.saturating_sub(served.cached);
        self.recomputed.inc_by(missed.get());
        self.output.inc_by(served.output.get());
    }
}
