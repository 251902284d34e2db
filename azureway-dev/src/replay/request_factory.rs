//! Converts the requests of a trace for the core and for the engines.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::{
    AccountId, Deadline, Dispatch, Fingerprint, IdempotencyKey, PromptBlocks, Request, RequestId,
    RequestKind, Salt, Timestamp, TokenCount, WeightsVersion, Worth,
};

use super::{Owner, Task};
use crate::trace::{Header, Record, Trace, TraceRequest};

/// Converts the requests of a trace into requests for the core and tasks for the engines.
#[derive(Debug)]
pub struct RequestFactory<'a> {
    /// The weights version in the configuration.
    pub weights: WeightsVersion,
    trace: &'a Trace,
    prompts: BTreeMap<u64, PromptBlocks>,
}

impl<'a> RequestFactory<'a> {
    /// Creates a factory for the requests of `trace`.
    pub const fn new(trace: &'a Trace) -> Self {
        Self {
            weights: WeightsVersion::new(1),
            trace,
            prompts: BTreeMap::new(),
        }
    }

    /// Returns the request of record `sequence`, received by the entry process `epoch`.
    pub fn new_request(
        &mut self,
        request: &TraceRequest,
        epoch: u64,
        sequence: u64,
        now: Timestamp,
    ) -> Request {
        let prompt = self.prompt_blocks(request, sequence);
        self.prompts.insert(sequence, prompt.clone());
        let unique = unique_name(request, sequence);
        let at_most_once = request.kind.request_kind() == RequestKind::AtMostOnce;
        Request {
            id: RequestId::new(epoch, sequence),
            account: AccountId::new(&request.account),
            service: Header::service(request.kind),
            rank: request.kind.rank(),
            kind: request.kind.request_kind(),
            worth: Worth::new(request.worth),
            deadline: Deadline::new(now + Duration::from_millis(request.ttft_limit)),
            arrived: now,
            weights: self.weights,
            fingerprint: Fingerprint::of(
                &request.account,
                request.kind.as_str(),
                unique.as_bytes(),
            ),
            max_attempts: None,
            time_limit: None,
            prompt,
            max_output: TokenCount::new(request.output),
            usage: None,
            idempotency_key: at_most_once.then(|| IdempotencyKey::new(&unique)),
        }
    }

    /// Returns the task for a request that another entry sends to an engine.
    pub fn peer_task(&self, request: &TraceRequest, sequence: u64) -> Task {
        Task {
            owner: Owner::Peer,
            rank: request.kind.rank(),
            prompt: self.prompt_blocks(request, sequence),
            weights: self.weights,
            output: request.output,
            position: 0,
            resumed: 0,
            pending: 0,
            cached: 0,
            poison: request.poison,
        }
    }

    /// Returns the task for a dispatch of the core, or `None` if its request is not known.
    pub fn dispatched_task(&self, dispatch: &Dispatch) -> Option<Task> {
        let sequence = dispatch.attempt.id.sequence();
        let number = usize::try_from(sequence).ok()?;
        let Some((_, Record::Request(request))) = self.trace.records.get(number) else {
            return None;
        };
        let position = dispatch.position.get();
        Some(Task {
            owner: Owner::Entry(dispatch.attempt),
            prompt: self.prompts.get(&sequence)?.clone(),
            weights: dispatch.weights,
            position,
            resumed: position,
            ..self.peer_task(request, sequence)
        })
    }

    fn prompt_blocks(&self, request: &TraceRequest, sequence: u64) -> PromptBlocks {
        let account = AccountId::new(&request.account);
        let salt = Salt::new(&account, &Header::service(request.kind), self.weights);
        let unique = unique_name(request, sequence);
        self.trace.levels.prompt_blocks(request, salt, &unique)
    }
}

/// Returns the name of the part of a prompt that no other request shares. All poison requests
/// have the same.
fn unique_name(request: &TraceRequest, sequence: u64) -> String {
    if request.poison {
        "poison".to_owned()
    } else {
        format!("own-{sequence}")
    }
}
