//! Drives a router with generated requests for the benches and the slopes.

use std::time::Duration;

use azureway_core::prelude::*;

use super::FleetSize;
use super::fleet_size::{account_id, server_id, service_id};

/// A router in the first zone of a fleet, with a simulated clock.
#[derive(Debug)]
pub struct RouterFixture {
    /// The router under measurement.
    pub router: Router<PrefixLoad>,
    size: FleetSize,
    now: Timestamp,
    sequence: u64,
    actions: Vec<Action>,
}

/// The simulated time between two events.
const TICK: Duration = Duration::from_millis(1);
/// The time from the arrival of a request to its deadline.
const TIMEOUT: Duration = Duration::from_secs(86_400);
/// The number of prompt tokens in a block.
const BLOCK_TOKENS: u64 = 2_000;
/// The number of blocks in a prompt.
const PROMPT_BLOCKS: u64 = 3;
/// The number of distinct prompts.
const PREFIXES: u64 = 64;

impl RouterFixture {
    /// Creates a router configured with the fleet of `size`, each server with `slots` slots.
    pub fn new(size: FleetSize, slots: u32) -> Self {
        let config = RouterConfig::new(ZoneId::new("zone-0")).with_queue_limit(usize::MAX);
        let mut fixture = Self {
            router: Router::new(config, PrefixLoad::new()),
            size,
            now: Timestamp::from_millis(1),
            sequence: 0,
            actions: Vec::new(),
        };
        let fleet = size.fleet(1, slots);
        fixture.handle(Event::Configured(&fleet));
        fixture
    }

    /// Handles an event and returns the first dispatch among the router's actions, if any.
    pub fn handle(&mut self, event: Event<'_>) -> Option<Dispatch> {
        self.now = self.now + TICK;
        self.router.handle(event, self.now, &mut self.actions);
        let mut dispatches = self.actions.drain(..).filter_map(into_dispatch);
        dispatches.next()
    }

    /// Submits the next request and returns the resulting dispatch, or `None` if it is queued.
    pub fn submit(&mut self) -> Option<Dispatch> {
        let request = self.next_request();
        self.handle(Event::Arrived(&request))
    }

    /// Completes an attempt with success and returns the dispatch of a queued request, if any.
    pub fn finish(&mut self, dispatch: &Dispatch) -> Option<Dispatch> {
        self.handle(Event::Started(dispatch.attempt));
        self.handle(Event::Finished(&Finish {
            attempt: dispatch.attempt,
            cached: dispatch.cached,
            output: TokenCount::new(1),
        }))
    }

    /// Submits a request and completes it with success if it is dispatched at once.
    pub fn run_request(&mut self) {
        if let Some(dispatch) = self.submit() {
            self.finish(&dispatch);
        }
    }

    /// Creates the next request. Its sequence number determines its account and its prompt.
    pub fn next_request(&mut self) -> Request {
        self.sequence += 1;
        let number = usize::try_from(self.sequence).unwrap_or(usize::MAX);
        let account = account_id(number % self.size.accounts);
        let service = service_id(number % self.size.models);
        let weights = WeightsVersion::new(1);
        let salt = Salt::new(&account, &service, weights);
        let prefix = self.sequence % PREFIXES;
        Request {
            id: RequestId::new(1, self.sequence),
            account,
            service,
            rank: Rank::Urgent,
            kind: RequestKind::Repeatable,
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + TIMEOUT),
            arrived: self.now,
            weights,
            prompt: PromptBlocks::from_blocks(salt, blocks(prefix * PROMPT_BLOCKS), 2),
            max_output: TokenCount::new(100),
            usage: None,
            idempotency_key: None,
            fingerprint: Fingerprint::from_bytes(u128::from(self.sequence).to_be_bytes()),
            max_attempts: None,
            time_limit: None,
        }
    }

    /// Returns the ID of the backend server with this number.
    pub fn server_id(number: usize) -> ServerId {
        server_id(number)
    }

    /// Returns the ID of the client account with this number.
    pub fn account_id(number: usize) -> AccountId {
        account_id(number)
    }
}

/// Returns the blocks of a prompt, numbered from `first`.
fn blocks(first: u64) -> impl Iterator<Item = Block> {
    (first..first + PROMPT_BLOCKS).map(|number| Block {
        key: BlockKey::new(u128::from(number)),
        tokens: TokenCount::new(BLOCK_TOKENS),
    })
}

fn into_dispatch(action: Action) -> Option<Dispatch> {
    match action {
        Action::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    }
}
