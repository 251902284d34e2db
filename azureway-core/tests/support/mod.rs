//! Helpers shared by the integration tests of this crate.
#![expect(
    unreachable_pub,
    reason = "test helpers are used only within their test crate"
)]
#![allow(dead_code, reason = "each test uses only some of the helpers")]

use azureway_core::prelude::*;

/// A router of zone `a` with the [`PrefixLoad`] policy, and its clock.
pub struct RouterFixture {
    pub router: Router<PrefixLoad>,
    pub now: Timestamp,
    sequence: u64,
}

impl RouterFixture {
    /// Creates a router with `servers` backend servers in zone `a`, each with `slots` slots.
    pub fn new(servers: usize, slots: u32) -> Self {
        Self::with_seed(servers, slots, 0)
    }

    /// Creates a router whose decisions are spread by `seed`.
    pub fn with_seed(servers: usize, slots: u32, seed: u64) -> Self {
        let config = RouterConfig::new(ZoneId::new("a")).with_seed(seed);
        let mut fixture = Self {
            router: Router::new(config, PrefixLoad::new()),
            now: Timestamp::from_millis(1),
            sequence: 0,
        };
        let fleet = fleet(servers, slots);
        fixture.handle(Event::Configured(&fleet));
        fixture
    }

    /// Passes an event to the router and returns the actions that it requests.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(event, self.now, &mut out);
        out
    }

    /// Advances the clock by `time`, ticks the router and returns the actions that it requests.
    pub fn advance(&mut self, time: std::time::Duration) -> Vec<Action> {
        self.now = self.now + time;
        self.handle(Event::Tick)
    }

    /// Creates a request of `account` whose prompt consists of the given levels.
    pub fn request(&mut self, account: &str, levels: &[&str]) -> Request {
        self.sequence += 1;
        let (account, service) = (AccountId::new(account), ServiceId::new("advice"));
        let weights = WeightsVersion::new(1);
        let salt = Salt::new(&account, &service, weights);
        Request {
            id: RequestId::new(1, self.sequence),
            fingerprint: Fingerprint::of(account.as_str(), "advice", levels.concat().as_bytes()),
            max_attempts: None,
            time_limit: None,
            prompt: PromptBlocks::new(salt, levels.iter().map(|l| l.as_bytes())),
            account,
            service,
            rank: Rank::Urgent,
            kind: RequestKind::Repeatable,
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + std::time::Duration::from_secs(10)),
            arrived: self.now,
            weights,
            max_output: TokenCount::new(100),
            usage: None,
            idempotency_key: None,
        }
    }
}

/// Returns a fleet of `servers` backend servers in zone `a`, each with `slots` slots, and two client
/// accounts.
pub fn fleet(servers: usize, slots: u32) -> Fleet {
    let pool = PoolId::new("engines");
    let base = Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(ModelService::new(ServiceId::new("advice"), pool.clone()))
        .with_account(ClientAccount::new(AccountId::new("small")))
        .with_account(ClientAccount::new(AccountId::new("large")));
    (1..=servers).fold(base, |fleet, number| {
        let id = ServerId::new(&format!("engine-{number}"));
        let port = u16::try_from(9_000 + number).expect("a port");
        let address = ([127, 0, 0, 1], port).into();
        let server = BackendServer::new(id, pool.clone(), ZoneId::new("a"), address);
        fleet.with_server(server.with_slots(slots))
    })
}

/// Returns the dispatches among `actions`.
pub fn dispatches(actions: &[Action]) -> Vec<&Dispatch> {
    actions.iter().filter_map(as_dispatch).collect()
}

/// Returns the refusals among `actions`.
pub fn refusals(actions: &[Action]) -> Vec<&Refusal> {
    actions.iter().filter_map(as_refusal).collect()
}

fn as_dispatch(action: &Action) -> Option<&Dispatch> {
    match action {
        Action::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    }
}

fn as_refusal(action: &Action) -> Option<&Refusal> {
    match action {
        Action::Refuse(_, refusal) => Some(refusal),
        _ => None,
    }
}

/// Returns a failure of the attempt of `dispatch`.
pub fn failure(dispatch: &Dispatch, kind: FailureKind, sent: SendState, position: u64) -> Failure {
    Failure {
        attempt: dispatch.attempt,
        kind,
        sent,
        position: StreamPosition::new(position),
    }
}
