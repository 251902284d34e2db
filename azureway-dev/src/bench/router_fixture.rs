//! A router with its clock.

use std::time::Duration;

use azureway_core::prelude::*;

use super::FleetSize;
use super::fleet_size::{account_id, server_id, service_id};

/// A router of the first zone of a fleet, with its clock.
#[derive(Debug)]
pub struct RouterFixture {
    /// The router.
    pub router: Router<PrefixLoad>,
    size: FleetSize,
    now: Timestamp,
    sequence: u64,
    actions: Vec<Action>,
}

/// The time between two events.
const TICK: Duration = Duration::from_millis(1);
/// The time that callers allow.
const TIMEOUT: Duration = Duration::from_secs(86_400);
/// The prompt tokens of a block.
const BLOCK_TOKENS: u64 = 2_000;
/// The blocks of a prompt.
const PROMPT_BLOCKS: u64 = 3;
/// The prefixes that requests draw from.
const PREFIXES: u64 = 64;

impl RouterFixture {
    /// Creates a router that has the fleet of `size` in force.
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

    /// Tells the router an event and returns the first order among what it wants done.
    pub fn handle(&mut self, event: Event<'_>) -> Option<Dispatch> {
        self.now = self.now + TICK;
        self.router.handle(event, self.now, &mut self.actions);
        let mut dispatches = self.actions.drain(..).filter_map(into_dispatch);
        dispatches.next()
    }

    /// Lets the next request arrive and returns the order that follows from it.
    pub fn submit(&mut self) -> Option<Dispatch> {
        let request = self.next_request();
        self.handle(Event::Arrived(&request))
    }

    /// Ends a try well and returns the order that follows from it.
    pub fn finish(&mut self, dispatch: &Dispatch) -> Option<Dispatch> {
        self.handle(Event::Started(dispatch.attempt));
        self.handle(Event::Finished(&Finish {
            attempt: dispatch.attempt,
            cached: dispatch.cached,
            output: TokenCount::new(1),
        }))
    }

    /// Lets a request arrive and end well, if a slot is free.
    pub fn run_request(&mut self) {
        if let Some(dispatch) = self.submit() {
            self.finish(&dispatch);
        }
    }

    /// Returns the next request, whose account and prefix follow from its number.
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
            chain: BlockChain::from_blocks(salt, blocks(prefix * PROMPT_BLOCKS), 2),
            max_output: TokenCount::new(100),
            idempotency_key: None,
            fingerprint: Fingerprint::from_bytes(u128::from(self.sequence).to_be_bytes()),
            max_attempts: None,
        }
    }

    /// Returns the name of a server.
    pub fn server_id(number: usize) -> ServerId {
        server_id(number)
    }

    /// Returns the name of an account.
    pub fn account_id(number: usize) -> AccountId {
        account_id(number)
    }
}

/// Returns the blocks of a prompt from number `first` on.
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
