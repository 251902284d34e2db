//! Token counts, from which the prefix hit rate is computed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use super::FinishedRequest;

/// The counters of prompt and answer tokens. The prefix hit rate is `cached_tokens` over
/// `prompt_tokens`.
#[derive(Debug)]
pub struct PromptMetrics {
    prompt: Counter,
    cached: Counter,
    recomputed: Counter,
    output: Counter,
}

impl PromptMetrics {
    /// Creates the metrics and registers them in `r`.
    pub fn new(r: &mut Registry) -> Self {
        let metrics = Self {
            prompt: Counter::default(),
            cached: Counter::default(),
            recomputed: Counter::default(),
            output: Counter::default(),
        };
        r.register("prompt_tokens", "Tokens of prompts", metrics.prompt.clone());
        let help = "Prompt tokens that the backend server found in its cache";
        r.register("cached_tokens", help, metrics.cached.clone());
        let help = "Prompt tokens that were believed cached and computed again";
        r.register("recomputed_tokens", help, metrics.recomputed.clone());
        r.register("output_tokens", "Tokens of answers", metrics.output.clone());
        metrics
    }

    /// Adds the tokens of a request that was answered completely.
    pub fn record_finished(&self, request: &FinishedRequest) {
        self.prompt.inc_by(request.prompt.get());
        self.cached.inc_by(request.cached.get());
        let recomputed = request.expected_cached.saturating_sub(request.cached);
        self.recomputed.inc_by(recomputed.get());
        self.output.inc_by(request.output.get());
    }
}
