//! Tests of what becomes of requests near the time at which older weights may no longer answer.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, fleet, refusals};

/// The time for which requests may be sent to older weights.
const GRACE: Duration = Duration::from_secs(8);
/// The time from the end of the grace period until requests may no longer begin on older weights.
const MARGIN: Duration = Duration::from_secs(2);
/// The time at which weights 2 are named: an hour after the clock's origin.
const NAMED: Timestamp = Timestamp::from_millis(3_600_000);
/// The number of slots of each backend server.
const SLOTS: u32 = 4;
/// The bytes of a prompt of 40,000 tokens, which a server computes in 1.3 s.
const LONG_PROMPT: usize = 160_000;

/// A router whose servers have the given weights. Weights 2 are named at [`NAMED`].
struct Rig {
    fixture: RouterFixture,
    version: u64,
    prompts: u64,
}

impl Rig {
    fn new(loaded: &[u64]) -> Self {
        let mut fixture = RouterFixture::new(0, SLOTS);
        fixture.now = NAMED;
        let mut rig = Self {
            fixture,
            version: 1,
            prompts: 0,
        };
        rig.list(loaded);
        rig
    }

    /// Lists one server for each of the weights.
    fn list(&mut self, loaded: &[u64]) {
        self.version += 1;
        let mut fleet = fleet(loaded.len(), SLOTS).with_version(ConfigVersion::new(self.version));
        for (server, weights) in fleet.servers.values_mut().zip(loaded) {
            server.prefill = TokenRate::new(30_000);
            server.listed = Some(ListedState {
                incarnation: Incarnation::new(1),
                weights: Some(WeightsVersion::new(*weights)),
            });
        }
        let rollout = Rollout {
            model: ModelId::new("m"),
            versions: [(WeightsVersion::new(2), NAMED)].into_iter().collect(),
            grace: GRACE,
            margin: MARGIN,
            undisturbed: Timestamp::ZERO,
            retired: None,
        };
        let service = &fleet.services[&ServiceId::new("advice")];
        let service = service.clone().with_weights(WeightsVersion::new(2));
        let fleet = fleet.with_service(service.with_rollout(rollout));
        self.fixture.handle(Event::Configured(&fleet));
    }

    /// Moves the clock to `millis` milliseconds after the weights were named.
    fn pass_to(&mut self, millis: u64) -> Vec<Action> {
        let target = NAMED + Duration::from_millis(millis);
        let time = target.since(self.fixture.now);
        self.fixture.advance(time)
    }

    /// Handles a new request with a prompt of its own of `bytes` bytes. Returns its dispatch, if it is
    /// sent.
    fn send(&mut self, bytes: usize) -> Option<Dispatch> {
        self.prompts += 1;
        let prompt = format!("{}{}", self.prompts, "p".repeat(bytes));
        let request = self.fixture.request("small", &["house", "shop", &prompt]);
        let actions = self.fixture.handle(Event::Arrived(&request));
        dispatches(&actions).first().map(|d| (*d).clone())
    }
}

/// Guards against a request that is sent to a busy server shortly before its weights are outdated, and
/// begins there after that.
#[gtest]
fn busy_servers_with_older_weights_get_no_request_that_would_begin_too_late() {
    for (loaded, queued, sent_at, expected) in [
        // The two long prompts take 2.7 s, and the wait may be twice as long as expected.
        (1, 2, 4_000, true),
        (1, 2, 5_000, false),
        // The margin holds at idle servers too, and no longer.
        (1, 0, 7_990, true),
        (1, 0, 8_000, false),
        (2, 2, 5_000, true),
        (2, 2, 20_000, true),
    ] {
        let mut rig = Rig::new(&[loaded]);
        rig.pass_to(3_900);
        for _ in 0..queued {
            expect_that!(rig.send(LONG_PROMPT), some(anything()));
        }
        rig.pass_to(sent_at);
        let dispatch = rig.send(40);
        let case = format!("weights {loaded}, {queued} queued, at {sent_at} ms");
        expect_that!(dispatch.is_some(), eq(expected), "{case}");
        let limit = dispatch.and_then(|d| d.start_limit);
        let expected = (loaded == 1 && expected).then(|| NAMED + GRACE + MARGIN);
        expect_that!(limit, eq(expected), "{case}");
    }
}

/// Returns the recalls among `actions`.
fn recalls(actions: &[Action]) -> Vec<&Recall> {
    let recalls = actions.iter().filter_map(|a| match a {
        Action::Recall(recall) => Some(recall),
        _ => None,
    });
    recalls.collect()
}

/// Returns the report of the attempt of `dispatch` after it was recalled.
fn recalled(dispatch: &Dispatch) -> Failure {
    failure(dispatch, FailureKind::Recalled, SendState::MaybeRun, 0)
}

/// Guards against a request that waits in a flooded server, longer than expected, and begins there after
/// the limit of its weights.
#[gtest]
fn requests_that_wait_in_a_flooded_server_are_recalled_and_run_on_newer_weights() {
    let mut rig = Rig::new(&[1, 1]);
    rig.pass_to(7_900);
    let (waiting, begun) = (rig.send(40), rig.send(40));
    let (waiting, begun) = (waiting.expect("sent"), begun.expect("sent"));
    rig.fixture.handle(Event::Started(begun.attempt));
    rig.list(&[1, 1, 2]);
    expect_that!(recalls(&rig.pass_to(9_499)), is_empty());
    let at = NAMED + Duration::from_millis(9_500);
    expect_that!(rig.fixture.router.next_wakeup(), some(eq(at)));
    let actions = rig.pass_to(9_500);
    let attempts: Vec<Attempt> = recalls(&actions).iter().map(|r| r.attempt).collect();
    expect_that!(attempts, elements_are![eq(&waiting.attempt)]);
    expect_that!(rig.fixture.router.next_wakeup(), none().or(some(gt(at))));
    expect_that!(recalls(&rig.pass_to(9_600)), is_empty());
    let actions = rig.fixture.handle(Event::Failed(&recalled(&waiting)));
    let again = dispatches(&actions);
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].server.as_str(), eq("engine-3"));
    expect_that!(again[0].attempt.number, eq(2));
}

/// Guards against a recall of a request that a server runs already, because it has loaded newer weights
/// since, or because no newer ones are named.
#[gtest]
fn requests_at_servers_whose_weights_may_answer_are_not_recalled() {
    for (loaded, then) in [(1, 2), (2, 2)] {
        let mut rig = Rig::new(&[loaded]);
        rig.pass_to(7_900);
        expect_that!(rig.send(40), some(anything()));
        rig.list(&[then]);
        expect_that!(recalls(&rig.pass_to(9_500)), is_empty(), "{loaded} {then}");
        expect_that!(recalls(&rig.pass_to(20_000)), is_empty(), "{loaded} {then}");
    }
}

/// Guards against a recalled request that runs twice although it must not, and against an answer that
/// claims that it did not run.
#[gtest]
fn a_recalled_request_that_must_not_run_twice_is_answered_at_once_as_possibly_run() {
    let mut rig = Rig::new(&[1]);
    rig.pass_to(7_900);
    let mut request = rig.fixture.request("small", &["house"]);
    request.kind = RequestKind::AtMostOnce;
    let actions = rig.fixture.handle(Event::Arrived(&request));
    let dispatch = dispatches(&actions)[0].clone();
    rig.list(&[1, 2]);
    rig.pass_to(9_500);
    let actions = rig.fixture.handle(Event::Failed(&recalled(&dispatch)));
    expect_that!(dispatches(&actions), is_empty());
    let not_run: Vec<bool> = refusals(&actions).iter().map(|r| r.not_run).collect();
    expect_that!(not_run, elements_are![eq(&false)]);
}

/// Guards against a mass of recalled requests that exceeds the retry budget, or waits for it.
#[gtest]
fn a_mass_of_recalls_stays_within_the_retry_budget_and_the_rest_is_answered_at_once() {
    let mut rig = Rig::new(&[1; 4]);
    rig.pass_to(7_900);
    let sent: Vec<Dispatch> = (0..16).map(|_| rig.send(40).expect("sent")).collect();
    rig.list(&[1, 1, 1, 1, 2, 2, 2, 2]);
    let actions = rig.pass_to(9_500);
    expect_that!(recalls(&actions).len(), eq(sent.len()));
    let budget = rig.fixture.router.overview().retry_budget as usize;
    let (mut retried, mut refused) = (0, 0);
    for dispatch in &sent {
        let actions = rig.fixture.handle(Event::Failed(&recalled(dispatch)));
        retried += dispatches(&actions).len();
        refused += refusals(&actions).iter().filter(|r| !r.not_run).count();
    }
    expect_that!(retried, eq(budget));
    expect_that!(refused, eq(sent.len() - budget));
}

/// What becomes of a request.
#[derive(Debug, PartialEq)]
enum Fate {
    Sent,
    Waits,
    /// Refused as not run, with the time after which the caller may send it again, in milliseconds.
    Refused(Option<u128>),
}

impl Rig {
    /// Announces that a server loads weights 2 within `millis` milliseconds, or has loaded them.
    fn load(&mut self, server: &str, millis: u64) -> Vec<Action> {
        let notice = LoadNotice {
            server: ServerId::new(server),
            weights: WeightsVersion::new(2),
            duration: Duration::from_millis(millis),
        };
        self.fixture.handle(Event::Loading(&notice))
    }

    /// Handles a new request whose first token is due within `millis` milliseconds.
    fn submit(&mut self, millis: u64) -> Fate {
        let mut request = self.fixture.request("small", &["house"]);
        request.deadline = Deadline::new(self.fixture.now + Duration::from_millis(millis));
        fate(&self.fixture.handle(Event::Arrived(&request)))
    }
}

fn fate(actions: &[Action]) -> Fate {
    match (dispatches(actions).len(), refusals(actions).first()) {
        (0, None) => Fate::Waits,
        (0, Some(refusal)) if refusal.not_run => {
            Fate::Refused(refusal.retry_after.map(|t| t.as_millis()))
        }
        (1, None) => Fate::Sent,
        outcome => panic!("{outcome:?}"),
    }
}

/// Guards against callers that wait in vain until their deadlines while all weights are outdated, and
/// against the refusal of what a server that loads newer ones can still serve.
#[gtest]
fn requests_that_no_allowed_weights_can_serve_in_time_are_refused_at_once() {
    let default = RefusalReason::NoServer.retry_after().map(|t| t.as_millis());
    for (load, deadline, expected) in [
        (None, 4_000, Fate::Refused(default)),
        (Some(3_000), 4_000, Fate::Waits),
        (Some(3_000), 2_000, Fate::Refused(Some(3_000))),
        (Some(0), 400, Fate::Sent),
    ] {
        let mut rig = Rig::new(&[1, 1]);
        rig.pass_to(8_000);
        if let Some(millis) = load {
            rig.load("engine-1", millis);
        }
        let case = format!("load {load:?}, deadline {deadline}");
        expect_that!(rig.submit(deadline), eq(&expected), "{case}");
    }
}

/// Guards against requests that go on waiting although the load that they waited for has failed.
#[gtest]
fn waiting_requests_are_refused_when_the_last_announced_load_ends_without_newer_weights() {
    let mut rig = Rig::new(&[1]);
    rig.pass_to(8_000);
    rig.load("engine-1", 1_000);
    expect_that!(rig.submit(4_000), eq(&Fate::Waits));
    expect_that!(fate(&rig.pass_to(8_999)), eq(&Fate::Waits));
    let refused = fate(&rig.pass_to(9_001));
    expect_that!(matches!(refused, Fate::Refused(_)), eq(true), "{refused:?}");
}

/// Guards against a flood of the few servers that have newer weights: what exceeds their capacity is
/// refused at once, and what they can serve is not.
#[gtest]
fn the_load_of_a_whole_pool_on_one_server_with_newer_weights_is_cut_to_what_it_serves() {
    for (loaded, refused) in [([1, 1, 1, 2], true), ([2, 2, 2, 2], false)] {
        let mut rig = Rig::new(&loaded);
        rig.pass_to(8_000);
        let fates: Vec<Fate> = (0..60).map(|_| rig.submit(4_000)).collect();
        let count = |wanted: fn(&Fate) -> bool| fates.iter().filter(|f| wanted(f)).count();
        // One server ends four requests a second, so 16 within the deadline of those that wait. An
        // entry without peers may hope for twice that.
        let waiting = count(|f| *f == Fate::Waits);
        expect_that!(waiting, ge(16), "{loaded:?}");
        expect_that!(waiting <= 32, eq(refused), "{loaded:?}");
        let refusals = count(|f| matches!(f, Fate::Refused(_)));
        expect_that!(refusals > 0, eq(refused), "{loaded:?}");
    }
}
