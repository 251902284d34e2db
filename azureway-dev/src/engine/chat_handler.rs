//! Runs one chat request in the simulated engine, on the thread of the request.

use std::io;
use std::time::Duration;

use azureway_core::prelude::{PromptBlocks, TokenCount};
use azureway_wire::chat::{Usage, UsageDetails};

use super::{AcceptedRequest, ChatEvent, Engine, EngineState, Generation, RequestMetadata};
use crate::http::EventWriter;

/// Processes one chat request: waits for a slot, computes the prompt and streams the answer.
pub struct ChatHandler<'a> {
    engine: &'a Engine,
    writer: EventWriter,
    metadata: &'a RequestMetadata,
    prompt: &'a PromptBlocks,
    accepted: AcceptedRequest,
    /// The number of prompt tokens that are still to be computed.
    pending: TokenCount,
}

/// The interval between comments that keep the connection alive before the first token.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

impl<'a> ChatHandler<'a> {
    /// Creates the handler of a request that the engine has accepted.
    pub const fn new(
        engine: &'a Engine,
        writer: EventWriter,
        metadata: &'a RequestMetadata,
        prompt: &'a PromptBlocks,
        accepted: AcceptedRequest,
    ) -> Self {
        Self {
            engine,
            writer,
            metadata,
            prompt,
            accepted,
            pending: accepted.uncached,
        }
    }

    /// Runs until the answer is complete, the engine restarts or the caller disconnects.
    pub fn run(mut self, model: &str, max_tokens: Option<u64>) {
        if self.wait_slot().is_some() {
            let _ = self.answer(model, max_tokens);
        }
        self.engine
            .update(|s| s.remove(&self.accepted, self.pending));
    }

    fn answer(&mut self, model: &str, max_tokens: Option<u64>) -> Option<()> {
        self.prefill()?;
        self.engine
            .update(|s| s.finish_prefill(&self.accepted, self.prompt));
        self.pending = TokenCount::ZERO;
        let generation = Generation::new(self.prompt, max_tokens);
        let id = self.metadata.attempt_id.clone();
        self.stream(ChatEvent { id: &id, model }, generation)
    }

    fn wait_slot(&mut self) -> Option<()> {
        loop {
            let accepted = self.accepted;
            let is_waiting = |s: &mut EngineState| {
                s.incarnation == accepted.incarnation && !s.is_next(&accepted)
            };
            self.engine.wait_timeout(KEEP_ALIVE, is_waiting);
            self.check_running()?;
            if self.engine.update(|s| s.take_slot(&accepted)) {
                return Some(());
            }
            self.writer.comment().ok()?;
        }
    }

    fn prefill(&mut self) -> Option<()> {
        let mut remaining = self
            .engine
            .config()
            .prefill_rate
            .time_for(self.accepted.uncached);
        while remaining > KEEP_ALIVE {
            self.simulate_work(KEEP_ALIVE)?;
            self.writer.comment().ok()?;
            remaining -= KEEP_ALIVE;
        }
        self.simulate_work(remaining)
    }

    fn stream(&mut self, event: ChatEvent<'_>, generation: Generation) -> Option<()> {
        let mut position = self.metadata.resume_position;
        while let Some(token) = generation.token(position) {
            self.write(position, &event.token(&token)).ok()?;
            position += 1;
            self.simulate_work(self.engine.config().token_interval)?;
        }
        let length = generation.length().get();
        if position <= length {
            self.write(length, &event.finish(self.usage(generation)))
                .ok()?;
        }
        self.write(length + 1, "[DONE]").ok()?;
        self.writer.end().ok()
    }

    fn write(&mut self, position: u64, data: &str) -> io::Result<()> {
        self.writer.event(position, data)
    }

    /// Sleeps for `time` as if computing. Returns `None` if the engine restarts meanwhile.
    fn simulate_work(&self, time: Duration) -> Option<()> {
        let incarnation = self.accepted.incarnation;
        self.engine
            .wait_timeout(time, |s| s.incarnation == incarnation);
        self.check_running()
    }

    /// Returns `None` if the engine has restarted. On a stalled connection, blocks until it has.
    fn check_running(&self) -> Option<()> {
        let AcceptedRequest {
            incarnation,
            number,
            ..
        } = self.accepted;
        self.engine
            .wait_while(|s| s.incarnation == incarnation && number <= s.stalled);
        (self.engine.incarnation() == incarnation).then_some(())
    }

    fn usage(&self, generation: Generation) -> Usage {
        Usage {
            prompt_tokens: self.prompt.tokens().get(),
            completion_tokens: generation.length().get(),
            prompt_details: UsageDetails {
                cached_tokens: self.accepted.cached.get(),
            },
        }
    }
}
