//! The requests of a trace, as the core and the engines take them.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::{
    AccountId, BlockChain, Deadline, Dispatch, Fingerprint, IdempotencyKey, Request, RequestId,
    RequestKind, Salt, Timestamp, TokenCount, WeightsVersion, Worth,
};

use super::{Owner, Task};
use crate::trace::{Ask, Header, Record, Trace};

/// The requests of a trace, as the core and the engines take them.
#[derive(Debug)]
pub struct Requests<'a> {
    /// The weights version in force.
    pub weights: WeightsVersion,
    trace: &'a Trace,
    chains: BTreeMap<u64, BlockChain>,
}

impl<'a> Requests<'a> {
    /// Creates the requests of `trace`, of which none was made yet.
    pub const fn new(trace: &'a Trace) -> Self {
        Self {
            weights: WeightsVersion::new(1),
            trace,
            chains: BTreeMap::new(),
        }
    }

    /// Makes the request that record `sequence` asks of entry process `epoch`.
    pub fn make(&mut self, ask: &Ask, epoch: u64, sequence: u64, now: Timestamp) -> Request {
        let chain = self.chain(ask, sequence);
        self.chains.insert(sequence, chain.clone());
        let own = own_name(ask, sequence);
        let once = ask.kind.calls() == RequestKind::AtMostOnce;
        Request {
            id: RequestId::new(epoch, sequence),
            account: AccountId::new(&ask.account),
            service: Header::service(ask.kind),
            rank: ask.kind.rank(),
            kind: ask.kind.calls(),
            worth: Worth::new(ask.worth),
            deadline: Deadline::new(now + Duration::from_millis(ask.patience)),
            arrived: now,
            weights: self.weights,
            fingerprint: Fingerprint::of(&ask.account, ask.kind.as_str(), own.as_bytes()),
            max_attempts: None,
            chain,
            max_output: TokenCount::new(ask.output),
            idempotency_key: once.then(|| IdempotencyKey::new(&own)),
        }
    }

    /// Makes the task that another entry sent to an engine.
    pub fn task(&self, ask: &Ask, sequence: u64) -> Task {
        Task {
            owner: Owner::Peer,
            rank: ask.kind.rank(),
            chain: self.chain(ask, sequence),
            weights: self.weights,
            output: ask.output,
            position: 0,
            resumed: 0,
            pending: 0,
            cached: 0,
            poison: ask.poison,
        }
    }

    /// Makes the task that the core orders.
    pub fn ordered(&self, order: &Dispatch) -> Option<Task> {
        let sequence = order.attempt.id.sequence();
        let number = usize::try_from(sequence).ok()?;
        let Some((_, Record::Ask(ask))) = self.trace.records.get(number) else {
            return None;
        };
        let position = order.position.get();
        Some(Task {
            owner: Owner::Entry(order.attempt),
            chain: self.chains.get(&sequence)?.clone(),
            weights: order.weights,
            position,
            resumed: position,
            ..self.task(ask, sequence)
        })
    }

    fn chain(&self, ask: &Ask, sequence: u64) -> BlockChain {
        let account = AccountId::new(&ask.account);
        let salt = Salt::new(&account, &Header::service(ask.kind), self.weights);
        let own = own_name(ask, sequence);
        self.trace.levels.chain(ask, salt, &own)
    }
}

/// Names the part of a prompt that is a request's own. A poison request is always the same.
fn own_name(ask: &Ask, sequence: u64) -> String {
    if ask.poison {
        "poison".to_owned()
    } else {
        format!("own-{sequence}")
    }
}
