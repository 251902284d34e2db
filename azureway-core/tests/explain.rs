//! Tests of route explanations and of the router overview.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{Bench, failure, fleet, orders};

/// Returns the chosen server and the obstacles of the others, in the order of server names.
fn explain(bench: &mut Bench, request: &Request) -> (Option<ServerId>, Vec<&'static str>) {
    let options = bench.router.explain(request, bench.now);
    let options = options.expect("the service exists");
    let chosen = options.iter().find(|o| o.obstacle.is_none());
    let obstacles = options.iter().filter_map(|o| o.obstacle);
    let obstacles = obstacles.map(Obstacle::as_str).collect();
    (chosen.map(|o| o.server.clone()), obstacles)
}

#[gtest]
fn explain_names_the_server_that_the_request_is_then_sent_to() {
    let mut bench = Bench::new(5, 4);
    for number in 0..40 {
        let levels = ["house", ["shop a", "shop b", "shop c"][number % 3]];
        let request = bench.request("small", &levels);
        let (chosen, _) = explain(&mut bench, &request);
        let active = bench.router.active();
        expect_that!(explain(&mut bench, &request).0, eq(&chosen));
        expect_that!(bench.router.active(), eq(active));
        let sent = bench.tell(Event::Arrived(&request));
        let dispatch = orders(&sent).first().map(|o| o.server.clone());
        expect_that!(dispatch, eq(&chosen), "request {number}");
    }
}

#[gtest]
fn explain_names_the_obstacle_of_each_server() {
    let mut bench = Bench::new(4, 1);
    let request = bench.request("small", &["house"]);
    let first = bench.tell(Event::Arrived(&request));
    let first = orders(&first)[0].clone();
    let (_, obstacles) = explain(&mut bench, &request);
    expect_that!(obstacles, contains(eq(&"full")));
    expect_that!(obstacles, contains(eq(&"behind")));
    let broken = failure(&first, FailureKind::Unreachable, SendState::Unsent, 0);
    bench.tell(Event::Failed(&broken));
    expect_that!(explain(&mut bench, &request).1, contains(eq(&"suspect")));
    let mut leaving = fleet(4, 1).with_version(ConfigVersion::new(2));
    leaving.servers.values_mut().for_each(|s| s.leaving = true);
    bench.tell(Event::Configured(&leaving));
    let (chosen, obstacles) = explain(&mut bench, &request);
    expect_that!(chosen, none());
    expect_that!(obstacles, eq(&vec!["leaving"; 4]));
}

#[gtest]
fn explain_distinguishes_other_weights_from_distance() {
    let mut bench = Bench::new(3, 4);
    let mut spread = fleet(3, 4).with_version(ConfigVersion::new(2));
    let far = spread.servers.get_mut("engine-3").expect("a server");
    far.zone = ZoneId::new("b");
    bench.tell(Event::Configured(&spread));
    bench.tell(Event::Load(&LoadReport {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(1),
        weights: WeightsVersion::new(9),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    }));
    let request = bench.request("small", &["house"]);
    let (chosen, obstacles) = explain(&mut bench, &request);
    expect_that!(chosen, some(eq(&ServerId::new("engine-2"))));
    expect_that!(obstacles, eq(&vec!["weights", "far"]));
}

#[gtest]
fn the_overview_counts_queued_and_in_flight_requests() {
    let mut bench = Bench::new(1, 1);
    for _ in 0..3 {
        let request = bench.request("small", &["house"]);
        bench.tell(Event::Arrived(&request));
    }
    let overview = bench.router.overview();
    expect_that!(overview.in_flight, eq(1));
    expect_that!(overview.queued, eq([2, 0]));
    expect_that!(overview.version, eq(ConfigVersion::new(1)));
    expect_that!(overview.draining, eq(false));
}

#[gtest]
fn the_overview_counts_suspects_and_quarantined_requests() {
    let mut bench = Bench::new(3, 4);
    let request = bench.request("small", &["poison"]);
    let mut sent = bench.tell(Event::Arrived(&request));
    let standing = |bench: &Bench| {
        let overview = bench.router.overview();
        (overview.suspects, overview.quarantined)
    };
    expect_that!(standing(&bench), eq((0, 0)));
    for counts in [(1, 0), (0, 1)] {
        let dispatch = orders(&sent)[0].clone();
        let broken = failure(&dispatch, FailureKind::Broken, SendState::MaybeRun, 0);
        sent = bench.tell(Event::Failed(&broken));
        expect_that!(standing(&bench), eq(counts));
    }
}
