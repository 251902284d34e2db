//! Which weights answer while a service is brought to newer ones: the table of faults.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{Bench, failure, orders};

/// How long older weights may answer.
const GRACE: Duration = Duration::from_secs(6);
/// The time of day at which cases begin: an hour after the clock's origin.
const START: Timestamp = Timestamp::from_millis(3_600_000);

/// A site with one server, and the router that serves it.
struct Site {
    bench: Bench,
    state: SiteState,
    life: u64,
}

impl Site {
    fn new() -> Self {
        let mut state = SiteState::new(Vec::new(), GRACE);
        state.configure(SiteDocument {
            version: ConfigVersion::new(4),
            services: vec![service()],
            ..SiteDocument::default()
        });
        let mut bench = Bench::new(0, 1);
        bench.now = START;
        let mut site = Self {
            bench,
            state,
            life: 1,
        };
        site.list(1);
        site
    }

    fn list(&mut self, weights: u64) {
        self.state.update_server(entry(self.life, weights));
        self.adopt();
    }

    fn adopt(&mut self) {
        let fleet = self.state.build_fleet().expect("a configuration");
        // The bench's own first fleet has version 1.
        let version = ConfigVersion::new(fleet.version.get() + 1);
        let fleet = fleet.with_version(version);
        self.bench.tell(Event::Configured(&fleet));
    }

    fn apply(&mut self, step: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let number = |place: usize| words[place].parse::<u64>().expect("a number");
        match words[0] {
            "name" => {
                let named = NamedWeights {
                    model: ModelId::new("m"),
                    version: WeightsVersion::new(number(1)),
                };
                let since = self.bench.now.as_micros() - number(2) * 1_000;
                self.state.add_named(named, Timestamp::from_micros(since));
                self.adopt();
            }
            "pass" => drop(self.bench.pass(Duration::from_millis(number(1)))),
            "list" => self.list(number(1)),
            "born" => {
                self.life += 1;
                self.list(number(1));
            }
            "answer" => {
                let sample = LoadSample {
                    server: ServerId::new("s"),
                    load: Some((0, 0)),
                    weights: Some(WeightsVersion::new(number(1))),
                };
                self.bench.tell(Event::LoadSample(&sample));
            }
            "busy" => {
                let sample = LoadSample {
                    server: ServerId::new("s"),
                    load: Some((number(1) as u32, 0)),
                    weights: None,
                };
                self.bench.tell(Event::LoadSample(&sample));
            }
            "load" => self.load(number(1), number(2)),
            "loaded" => self.load(number(1), 0),
            "reject" => {
                let order = self.ask().expect("the request is sent");
                let failed = failure(&order, FailureKind::Busy, SendState::Rejected, 0);
                self.bench.tell(Event::Failed(&failed));
                self.bench.tell(Event::CallerDisconnected(order.attempt.id));
            }
            word => panic!("unknown step {word}"),
        }
    }

    fn load(&mut self, weights: u64, millis: u64) {
        let loading = LoadNotice {
            server: ServerId::new("s"),
            weights: WeightsVersion::new(weights),
            duration: Duration::from_millis(millis),
        };
        self.bench.tell(Event::Loading(&loading));
    }

    /// Lets a request arrive. Returns its order if it is sent at once.
    fn ask(&mut self) -> Option<Dispatch> {
        let mut request = self.bench.request("", &["house"]);
        request.service = ServiceId::new("advice");
        request.rank = Rank::Drafting;
        let actions = self.bench.tell(Event::Arrived(&request));
        orders(&actions).first().map(|o| (*o).clone())
    }
}

fn service() -> SiteService {
    SiteService {
        id: ServiceId::new("advice"),
        model: Some(ModelId::new("m")),
        fetches: true,
        store: None,
    }
}

fn entry(life: u64, weights: u64) -> ListedServer {
    ListedServer {
        id: ServerId::new("s"),
        service: ServiceId::new("advice"),
        address: ([127, 0, 0, 1], 9_001).into(),
        zone: ZoneId::new("a"),
        slots: 8,
        leaving: false,
        incarnation: Incarnation::new(life),
        weights: Some(WeightsVersion::new(weights)),
    }
}

#[gtest]
fn weights_answer_as_the_table_says() {
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
        let sent = match site.ask() {
            Some(order) => format!("sent {}", order.weights),
            None => "waits".to_owned(),
        };
        expect_that!(sent.as_str(), eq(expected), "{fault}");
    }
}
