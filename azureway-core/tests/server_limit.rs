//! Tests of the rate of requests to backend servers that name a limit.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, refusals};

/// The window in which the users' pages count the requests that a limited server gets.
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(50);

/// Returns what an idle server states with an answer that names `limit`.
fn sample(server: &str, limit: Option<f64>) -> LoadSample {
    LoadSample {
        pace: None,
        server: ServerId::new(server),
        load: Some((0, 0)),
        weights: None,
        rate_limit: limit.and_then(RequestRate::from_per_second),
    }
}

/// Entries in front of the same servers, each as busy as the servers allow.
struct Site {
    entries: Vec<RouterFixture>,
    /// The requests that each server has got: the time of each.
    sent: Vec<(Timestamp, ServerId)>,
}

impl Site {
    fn new(entries: u32, servers: usize) -> Self {
        let fixtures = (0..entries).map(|entry| {
            let mut fixture = RouterFixture::with_seed(servers, 32, u64::from(entry));
            fixture.handle(Event::ZoneEntries(entries));
            fixture
        });
        Self {
            entries: fixtures.collect(),
            sent: Vec::new(),
        }
    }

    /// Tells every entry of the limit that a server names with an answer.
    fn name_limit(&mut self, server: &str, limit: Option<f64>) {
        let sample = sample(server, limit);
        for fixture in &mut self.entries {
            fixture.handle(Event::LoadSample(&sample));
        }
    }

    /// Lets requests come at every entry for `time`, and answers each at once.
    fn run(&mut self, time: Duration) {
        let end = self.entries[0].now + time;
        while self.entries[0].now < end {
            for fixture in &mut self.entries {
                let mut actions = fixture.advance(STEP);
                let request = fixture.request("small", &["house", "shop", "body"]);
                actions.extend(fixture.handle(Event::Arrived(&request)));
                for dispatch in dispatches(&actions) {
                    self.sent.push((fixture.now, dispatch.server.clone()));
                    let finish = Finish {
                        attempt: dispatch.attempt,
                        cached: TokenCount::ZERO,
                        output: TokenCount::new(1),
                    };
                    fixture.handle(Event::Finished(&finish));
                }
            }
        }
    }

    /// Returns the largest number of requests that a server got in a window, of those sent after
    /// `start`.
    fn most_in_window(&self, server: &str, start: Timestamp) -> usize {
        let times = self.sent.iter().filter(|(_, s)| s.as_str() == server);
        let times: Vec<_> = times.map(|(t, _)| *t).filter(|t| *t > start).collect();
        let in_window = |first: &Timestamp| {
            let window = times
                .iter()
                .filter(|t| *t >= first && **t < *first + WINDOW);
            window.count()
        };
        times.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Guards against entries that together send a server more than the limit that it names.
#[gtest]
fn entries_together_stay_within_the_limit_that_a_server_names() {
    for (entries, limit) in [(1, 3.0), (8, 2.8), (8, 40.0), (59, 3.2)] {
        let mut site = Site::new(entries, 2);
        site.run(Duration::from_secs(2));
        site.name_limit("engine-1", Some(limit));
        let start = site.entries[0].now;
        site.run(Duration::from_secs(12));
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let most = site.most_in_window("engine-1", start) as f64;
        expect_that!(most, le(allowed), "{entries} entries, limit {limit}");
        expect_that!(most, gt(0.0), "{entries} entries, limit {limit}");
        let other = site.most_in_window("engine-2", start);
        expect_that!(other as f64, gt(allowed), "the other server takes the rest");
    }
}

/// Guards against a limit that outlasts the need of its server.
#[gtest]
fn a_limit_ends_with_the_first_answer_that_names_none() {
    let mut site = Site::new(1, 1);
    site.name_limit("engine-1", Some(1.0));
    site.run(Duration::from_secs(5));
    expect_that!(site.sent.len(), le(8));
    site.name_limit("engine-1", None);
    let before = site.sent.len();
    site.run(Duration::from_secs(2));
    expect_that!(site.sent.len(), ge(before + 40));
}

/// Guards against requests that wait for a server whose limit allows them only later: the entry
/// wakes up then.
#[gtest]
fn a_waiting_request_is_sent_when_the_limit_allows_it() {
    let mut fixture = RouterFixture::new(1, 32);
    let sample = sample("engine-1", Some(2.0));
    fixture.handle(Event::LoadSample(&sample));
    let request = fixture.request("small", &["house", "shop", "body"]);
    let actions = fixture.handle(Event::Arrived(&request));
    expect_that!(dispatches(&actions), is_empty());
    let wakeup = fixture.router.next_wakeup().expect("a wake-up");
    let wait = wakeup.since(fixture.now);
    expect_that!(wait, le(Duration::from_millis(500)));
    let actions = fixture.advance(wait);
    expect_that!(dispatches(&actions).len(), eq(1));
}

/// Guards against requests that wait in vain for servers that all name a limit: they are refused at
/// once, with the time after which there is room.
#[gtest]
fn requests_that_the_limits_do_not_allow_in_time_are_refused_at_once() {
    let mut fixture = RouterFixture::new(1, 32);
    let sample = sample("engine-1", Some(1.0));
    fixture.handle(Event::LoadSample(&sample));
    let mut refused = Vec::new();
    for _ in 0..40 {
        let request = fixture.request("small", &["house", "shop", "body"]);
        let actions = fixture.handle(Event::Arrived(&request));
        refused.extend(refusals(&actions).into_iter().cloned());
    }
    // Each request waits for ten seconds at most.
    expect_that!(refused.len(), ge(25));
    expect_that!(refused.len(), le(30));
    let good = |r: &Refusal| r.not_run && r.retry_after.is_some();
    expect_that!(refused.iter().all(good), eq(true));
}
