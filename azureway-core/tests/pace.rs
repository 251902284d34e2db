//! Tests of the pattern "servers whose machines are shared": how long work takes there changes many
//! times a second, and servers state it with each answer.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};
use support::dispatches;

/// The seed of the machines' paces and of the requests.
const SEED: [u8; 32] = *b"azureway shared machines, seed 1";
/// The number of entries that share the servers.
const ENTRIES: usize = 4;
/// The number of backend servers.
const SERVERS: usize = 6;
/// The number of requests that a server runs at once.
const SLOTS: usize = 6;
/// The work of a request, in milliseconds at the usual pace.
const WORK: f64 = 60.0;
/// The simulated time, in milliseconds.
const TIME: u64 = 60_000;
/// The paces between which machines change, in percent.
const PACES: [f64; 5] = [80.0, 100.0, 100.0, 150.0, 300.0];

fn pace(percent: f64) -> Pace {
    Pace::from_percent(percent).expect("a pace")
}

fn millis(time: u64) -> Timestamp {
    Timestamp::from_millis(time)
}

/// A fresh figure decides about short work, and the average about long work or after a while.
#[gtest]
fn a_figure_counts_for_as_long_as_it_says_something() {
    for (age, work, low, high) in [
        (0, 1, 2.9, 3.0),
        (0, 60, 2.7, 2.95),
        (0, 5_000, 1.05, 1.4),
        (600, 60, 1.4, 1.9),
        (5_000, 60, 1.0, 1.2),
    ] {
        let mut meter = PaceMeter::new();
        for time in (0..60_000).step_by(100) {
            meter.observe(pace(100.0), millis(time));
        }
        meter.observe(pace(300.0), millis(60_000));
        let work = Duration::from_millis(work);
        let expected = meter.expected(work, millis(60_000 + age)).factor();
        expect_that!(expected, all!(ge(low), le(high)), "{age} {work:?}");
    }
}

#[gtest]
fn a_server_that_states_no_pace_counts_as_usual() {
    let work = Duration::from_millis(60);
    expect_that!(PaceMeter::new().time_for(work, millis(1)), eq(work));
}

/// The paces that an entry heard last, which the blind policy follows.
type LastPaces = Rc<RefCell<BTreeMap<ServerId, Pace>>>;

/// Chooses the server that stated the fastest pace last.
struct Blind(LastPaces);

impl Policy for Blind {
    const NAME: &'static str = "blind";

    fn choose(&mut self, _: RequestProfile, list: &[Candidate<'_>], _: Timestamp) -> Option<usize> {
        let last = self.0.borrow();
        let pace = |c: &Candidate<'_>| last.get(&c.state.server.id).copied();
        (0..list.len()).min_by_key(|i| (pace(&list[*i]).unwrap_or(Pace::USUAL), list[*i].weight))
    }
}

/// A request at a server, which runs once a slot is free.
struct Job {
    entry: usize,
    attempt: Attempt,
    left: f64,
    arrived: u64,
}

/// Entries with one policy in front of servers whose machines are shared.
struct World<P> {
    entries: Vec<Router<P>>,
    heard: Vec<LastPaces>,
    jobs: Vec<Vec<Job>>,
    paces: Vec<(f64, u64)>,
    /// Whether the entries are told the paces.
    told: bool,
    random: TestRng,
    /// The duration of each answered request, in milliseconds.
    times: Vec<u64>,
}

impl<P: Policy> World<P> {
    fn new(told: bool, policy: impl Fn(LastPaces) -> P) -> Self {
        let heard: Vec<LastPaces> = (0..ENTRIES).map(|_| LastPaces::default()).collect();
        let entries = (0..ENTRIES).map(|number| {
            let config = RouterConfig::new(ZoneId::new("a"))
                .with_seed(number as u64)
                .with_shared_servers();
            let mut router = Router::new(config, policy(Rc::clone(&heard[number])));
            router.handle(Event::Configured(&fleet()), millis(1), &mut Vec::new());
            router
        });
        Self {
            entries: entries.collect(),
            heard,
            jobs: (0..SERVERS).map(|_| Vec::new()).collect(),
            paces: vec![(100.0, 0); SERVERS],
            told,
            random: TestRng::from_seed(RngAlgorithm::ChaCha, &SEED),
            times: Vec::new(),
        }
    }

    /// Runs the world and returns the mean duration of a request, in milliseconds.
    fn run(mut self) -> f64 {
        let mut sequence = 0;
        for now in 2..TIME {
            for server in 0..SERVERS {
                if self.paces[server].1 <= now {
                    let index = self.random.next_u64() as usize % PACES.len();
                    self.paces[server] = (PACES[index], now + 100 + self.random.next_u64() % 1_000);
                }
                self.work(server, now);
            }
            if self.random.next_u64().is_multiple_of(7) {
                sequence += 1;
                let entry = self.random.next_u64() as usize % ENTRIES;
                let request = request(sequence, now);
                let mut actions = Vec::new();
                self.entries[entry].handle(Event::Arrived(&request), millis(now), &mut actions);
                self.send(entry, &actions, now);
            }
        }
        self.times.iter().sum::<u64>() as f64 / self.times.len() as f64
    }

    /// Advances the jobs that run at a server by a millisecond.
    fn work(&mut self, server: usize, now: u64) {
        let percent = self.paces[server].0;
        for job in self.jobs[server].iter_mut().take(SLOTS) {
            job.left -= 100.0 / percent;
        }
        let (done, rest) = self.jobs[server].drain(..).partition(|j| j.left <= 0.0);
        self.jobs[server] = rest;
        let done: Vec<Job> = done;
        for job in done {
            self.times.push(now - job.arrived);
            self.answer(server, &job, now);
        }
    }

    fn answer(&mut self, server: usize, job: &Job, now: u64) {
        let id = server_id(server);
        let pace = pace(self.paces[server].0);
        self.heard[job.entry].borrow_mut().insert(id.clone(), pace);
        let running = self.jobs[server].len().min(SLOTS) as u32;
        let queued = self.jobs[server].len().saturating_sub(SLOTS) as u32;
        let sample = LoadSample {
            server: id,
            load: Some((running, queued)),
            pace: Some(pace).filter(|_| self.told),
            weights: None,
            rate_limit: None,
        };
        let (cached, output) = (TokenCount::ZERO, TokenCount::ZERO);
        let finish = Finish {
            attempt: job.attempt,
            cached,
            output,
        };
        let (router, mut actions) = (&mut self.entries[job.entry], Vec::new());
        router.handle(Event::LoadSample(&sample), millis(now), &mut actions);
        router.handle(Event::Finished(&finish), millis(now), &mut actions);
        self.send(job.entry, &actions, now);
    }

    fn send(&mut self, entry: usize, actions: &[Action], now: u64) {
        for dispatch in dispatches(actions) {
            let server = (0..SERVERS).position(|s| server_id(s) == dispatch.server);
            self.jobs[server.expect("a known server")].push(Job {
                entry,
                attempt: dispatch.attempt,
                left: WORK,
                arrived: now,
            });
        }
    }
}

fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("orders-{number}"))
}

fn fleet() -> Fleet {
    let pool = PoolId::new("orders");
    let service = ModelService::new(ServiceId::new("orders"), pool.clone());
    let base = Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(service.with_kind(ServiceKind::Plain))
        .with_account(ClientAccount::new(AccountId::new("x")));
    (0..SERVERS).fold(base, |fleet, number| {
        let address = ([127, 0, 0, 1], 9_000 + number as u16).into();
        let zone = ZoneId::new("a");
        let mut server = BackendServer::new(server_id(number), pool.clone(), zone, address)
            .with_slots(SLOTS as u32);
        server.listed = Some(ListedState {
            incarnation: Incarnation::new(1),
            weights: None,
        });
        fleet.with_server(server)
    })
}

fn request(sequence: u64, now: u64) -> Request {
    let (account, service) = (AccountId::new("x"), ServiceId::new("orders"));
    let salt = Salt::new(&account, &service, WeightsVersion::ZERO);
    Request {
        id: RequestId::new(1, sequence),
        fingerprint: Fingerprint::of("x", "orders", &sequence.to_be_bytes()),
        max_attempts: None,
        time_limit: None,
        prompt: PromptBlocks::new(salt, std::iter::empty::<&[u8]>()),
        account,
        service,
        rank: Rank::Urgent,
        kind: RequestKind::AtMostOnce,
        worth: Worth::new(1),
        deadline: Deadline::new(millis(now + 3_000)),
        arrived: millis(now),
        weights: WeightsVersion::ZERO,
        max_output: TokenCount::ZERO,
        usage: None,
        idempotency_key: None,
    }
}

/// A router that ignores the figure sends to slow machines, and one that follows it blindly sends
/// everything to the machine that was fast last.
#[gtest]
fn weighing_the_pace_beats_ignoring_it_and_following_it_blindly() {
    let ignored = World::new(false, |_| PrefixLoad::new()).run();
    let blind = World::new(true, Blind).run();
    let weighed = World::new(true, |_| PrefixLoad::new()).run();
    println!("mean time in ms: ignored {ignored:.1}, blind {blind:.1}, weighed {weighed:.1}");
    expect_that!(weighed, lt(ignored));
    expect_that!(weighed, lt(blind));
}
