//! Tests of which weights version serves requests during a rollout, under faults.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure};

/// The grace period in which older weights may serve requests.
const GRACE: Duration = Duration::from_secs(6);
/// The time after a restore until the platform is stable.
const SETTLE: Duration = Duration::from_secs(3);
/// The start time of each case: an hour after the clock's origin.
const START: Timestamp = Timestamp::from_millis(3_600_000);

/// A site with one server, and the router in front of it.
struct Site {
    fixture: RouterFixture,
    state: SiteState,
    incarnation: u64,
}

impl Site {
    fn new() -> Self {
        let mut state = SiteState::with_rollouts(Vec::new(), rollouts());
        state.configure(SiteDocument {
            version: ConfigVersion::new(4),
            services: vec![service()],
            ..SiteDocument::default()
        });
        let mut fixture = RouterFixture::new(0, 1);
        fixture.now = START;
        let mut site = Self {
            fixture,
            state,
            incarnation: 1,
        };
        site.list(1);
        site
    }

    fn list(&mut self, weights: u64) {
        self.state
            .update_server(listed_server(self.incarnation, weights));
        self.reconfigure();
    }

    fn reconfigure(&mut self) {
        let fleet = self.state.build_fleet().expect("a configuration");
        // The initial fleet of the fixture has version 1.
        let version = ConfigVersion::new(fleet.version.get() + 1);
        let fleet = fleet.with_version(version);
        self.fixture.handle(Event::Configured(&fleet));
    }

    fn disturb(&mut self, since: Timestamp, until: Timestamp, restored: bool) {
        let disturbance = Disturbance {
            since,
            until,
            restored,
        };
        self.state.rollouts_mut().record_disturbance(disturbance);
        self.reconfigure();
    }

    fn apply(&mut self, step: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let number = |index: usize| words[index].parse::<u64>().expect("a number");
        match words[0] {
            "name" => {
                let named = NamedWeights {
                    model: ModelId::new("m"),
                    version: WeightsVersion::new(number(1)),
                };
                let since = self.fixture.now.as_micros() - number(2) * 1_000;
                let since = Timestamp::from_micros(since);
                self.state.rollouts_mut().add(named, since);
                self.reconfigure();
            }
            "disturbed" => {
                let until = self.fixture.now.before(Duration::from_millis(number(1)));
                let restored = words.get(2) == Some(&"restored");
                self.disturb(until, until, restored);
            }
            "away" => {
                let since = self.fixture.now.before(Duration::from_millis(number(1)));
                let until = self.fixture.now.before(Duration::from_millis(number(2)));
                self.disturb(since, until, words.get(3) == Some(&"restored"));
            }
            "answered" => {
                self.state.rollouts_mut().retire(self.fixture.now);
                self.reconfigure();
            }
            "retired" => {
                let oldest = WeightsVersion::new(number(1));
                let model = ModelId::new("m");
                self.state.rollouts_mut().add_retired(&model, oldest);
                self.reconfigure();
            }
            "pass" => drop(self.fixture.advance(Duration::from_millis(number(1)))),
            "list" => self.list(number(1)),
            "born" => {
                self.incarnation += 1;
                self.list(number(1));
            }
            "answer" => {
                let sample = LoadSample {
                    pace: None,
                    server: ServerId::new("s"),
                    load: Some((0, 0)),
                    weights: Some(WeightsVersion::new(number(1))),
                    rate_limit: None,
                };
                self.fixture.handle(Event::LoadSample(&sample));
            }
            "busy" => {
                let sample = LoadSample {
                    pace: None,
                    server: ServerId::new("s"),
                    load: Some((number(1) as u32, 0)),
                    weights: None,
                    rate_limit: None,
                };
                self.fixture.handle(Event::LoadSample(&sample));
            }
            "load" => self.load(number(1), number(2)),
            "withdrawn" => self.load(0, 0),
            "loaded" => self.load(number(1), 0),
            "reject" => self.reject(FailureKind::Busy),
            "mismatch" => self.reject(FailureKind::Mismatch),
            word => panic!("unknown step {word}"),
        }
    }

    /// Sends a request that the server rejects, and whose caller then gives it up.
    fn reject(&mut self, kind: FailureKind) {
        let dispatch = self.submit().expect("the request is sent");
        let failed = failure(&dispatch, kind, SendState::Rejected, 0);
        self.fixture.handle(Event::Failed(&failed));
        self.fixture
            .handle(Event::CallerDisconnected(dispatch.attempt.id));
    }

    fn load(&mut self, weights: u64, millis: u64) {
        let notice = LoadNotice {
            server: ServerId::new("s"),
            weights: WeightsVersion::new(weights),
            duration: Duration::from_millis(millis),
        };
        self.fixture.handle(Event::Loading(&notice));
    }

    /// Handles a new request, which was admitted when weights 1 were the newest. Returns its
    /// dispatch if it is sent at once.
    fn submit(&mut self) -> Option<Dispatch> {
        let mut request = self.fixture.request("", &["house"]);
        request.service = ServiceId::new("advice");
        request.rank = Rank::Drafting;
        request.weights = WeightsVersion::new(1);
        let actions = self.fixture.handle(Event::Arrived(&request));
        dispatches(&actions).first().map(|o| (*o).clone())
    }
}

fn rollouts() -> Rollouts {
    Rollouts::new(GRACE).with_settle(SETTLE).with_start(START)
}

fn service() -> SiteService {
    SiteService {
        feed_limit: None,
        capacity: None,
        id: ServiceId::new("advice"),
        model: Some(ModelId::new("m")),
        peer_fetch: true,
        store: None,
    }
}

fn listed_server(incarnation: u64, weights: u64) -> ListedServer {
    ListedServer {
        id: ServerId::new("s"),
        service: ServiceId::new("advice"),
        address: ([127, 0, 0, 1], 9_001).into(),
        zone: ZoneId::new("a"),
        slots: 8,
        leaving: false,
        incarnation: Incarnation::new(incarnation),
        weights: Some(WeightsVersion::new(weights)),
    }
}

#[gtest]
fn weights_table_gives_the_expected_versions() {
    for line in include_str!("../testdata/weights.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [fault, script, expected] = cells[..] else {
            panic!("three cells: {line}");
        };
        let mut site = Site::new();
        script.split(';').for_each(|step| site.apply(step.trim()));
        let sent = match site.submit() {
            Some(dispatch) => format!("sent {}", dispatch.weights),
            None => "waits".to_owned(),
        };
        expect_that!(sent.as_str(), eq(expected), "{fault}");
    }
}
