//! One chat request in an engine.

use std::io;
use std::time::Duration;

use azureway_core::prelude::{BlockChain, TokenCount};
use azureway_wire::chat::{Usage, UsageDetails};

use super::{ChatEvent, Engine, EngineState, Generation, Terms, Ticket};
use crate::http::EventWriter;

/// One chat request in an engine: it waits for a slot, computes its prompt and streams.
pub struct ChatRun<'a> {
    engine: &'a Engine,
    writer: EventWriter,
    terms: &'a Terms,
    chain: &'a BlockChain,
    ticket: Ticket,
    owed: TokenCount,
}

/// The time after which a comment tells the other side that the request is still at work.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

impl<'a> ChatRun<'a> {
    /// Creates the run of a request that the engine has taken.
    pub const fn new(
        engine: &'a Engine,
        writer: EventWriter,
        terms: &'a Terms,
        chain: &'a BlockChain,
        ticket: Ticket,
    ) -> Self {
        Self {
            engine,
            writer,
            terms,
            chain,
            ticket,
            owed: ticket.uncached,
        }
    }

    /// Runs to the end of the answer, or until the engine restarts or the caller is gone.
    pub fn run(mut self, model: &str, bound: Option<u64>) {
        if self.wait_slot().is_some() {
            let _ = self.answer(model, bound);
        }
        self.engine.change(|s| s.leave(&self.ticket, self.owed));
    }

    fn answer(&mut self, model: &str, bound: Option<u64>) -> Option<()> {
        self.compute()?;
        self.engine.change(|s| s.store(&self.ticket, self.chain));
        self.owed = TokenCount::ZERO;
        let generation = Generation::new(self.chain, bound);
        let id = self.terms.id.clone();
        self.stream(ChatEvent { id: &id, model }, generation)
    }

    fn wait_slot(&mut self) -> Option<()> {
        loop {
            let ticket = self.ticket;
            let waits = |s: &mut EngineState| s.incarnation == ticket.life && !s.is_next(&ticket);
            self.engine.wait(KEEP_ALIVE, waits);
            self.still_heard()?;
            if self.engine.change(|s| s.take_slot(&ticket)) {
                return Some(());
            }
            self.writer.comment().ok()?;
        }
    }

    fn compute(&mut self) -> Option<()> {
        let mut rest = self.engine.config().prefill.time_for(self.ticket.uncached);
        while rest > KEEP_ALIVE {
            self.work(KEEP_ALIVE)?;
            self.writer.comment().ok()?;
            rest -= KEEP_ALIVE;
        }
        self.work(rest)
    }

    fn stream(&mut self, event: ChatEvent<'_>, generation: Generation) -> Option<()> {
        let mut position = self.terms.resume;
        while let Some(token) = generation.token(position) {
            self.write(position, &event.token(&token)).ok()?;
            position += 1;
            self.work(self.engine.config().interval)?;
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

    /// Works for `time`, and returns `None` if the engine restarts meanwhile.
    fn work(&self, time: Duration) -> Option<()> {
        let life = self.ticket.life;
        self.engine.wait(time, |s| s.incarnation == life);
        self.still_heard()
    }

    /// Returns `None` once the engine has restarted. A silent connection waits for that.
    fn still_heard(&self) -> Option<()> {
        let Ticket { life, opened, .. } = self.ticket;
        self.engine
            .wait_while(|s| s.incarnation == life && opened <= s.silent);
        (self.engine.incarnation() == life).then_some(())
    }

    fn usage(&self, generation: Generation) -> Usage {
        Usage {
            prompt_tokens: self.chain.tokens().get(),
            completion_tokens: generation.length().get(),
            prompt_details: UsageDetails {
                cached_tokens: self.ticket.cached.get(),
            },
        }
    }
}
