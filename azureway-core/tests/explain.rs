//! Tests of route explanations and of the router overview.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, fleet};

/// Returns the chosen server and the exclusion reasons of the others, in the order of server names.
fn explain(
    fixture: &mut RouterFixture,
    request: &Request,
) -> (Option<ServerId>, Vec<&'static str>) {
    let options = fixture.router.explain(request, fixture.now);
    let options = options.expect("the service exists");
    let chosen = options.iter().find(|o| o.exclusion.is_none());
    let exclusions = options.iter().filter_map(|o| o.exclusion);
    let exclusions = exclusions.map(ExclusionReason::as_str).collect();
    (chosen.map(|o| o.server.clone()), exclusions)
}

#[gtest]
fn explain_names_the_server_that_the_request_is_then_sent_to() {
    let mut fixture = RouterFixture::new(5, 4);
    for number in 0..40 {
        let levels = ["house", ["shop a", "shop b", "shop c"][number % 3]];
        let request = fixture.request("small", &levels);
        let (chosen, _) = explain(&mut fixture, &request);
        let active = fixture.router.active();
        expect_that!(explain(&mut fixture, &request).0, eq(&chosen));
        expect_that!(fixture.router.active(), eq(active));
        let sent = fixture.handle(Event::Arrived(&request));
        let dispatch = dispatches(&sent).first().map(|o| o.server.clone());
        expect_that!(dispatch, eq(&chosen), "request {number}");
    }
}

#[gtest]
fn explain_names_the_exclusion_reason_of_each_server() {
    let mut fixture = RouterFixture::new(4, 1);
    let request = fixture.request("small", &["house"]);
    let first = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&first)[0].clone();
    let (_, exclusions) = explain(&mut fixture, &request);
    expect_that!(exclusions, contains(eq(&"full")));
    expect_that!(exclusions, contains(eq(&"behind")));
    let broken = failure(&first, FailureKind::Unreachable, SendState::Unsent, 0);
    fixture.handle(Event::Failed(&broken));
    expect_that!(explain(&mut fixture, &request).1, contains(eq(&"suspect")));
    let mut leaving = fleet(4, 1).with_version(ConfigVersion::new(2));
    leaving.servers.values_mut().for_each(|s| s.leaving = true);
    fixture.handle(Event::Configured(&leaving));
    let (chosen, exclusions) = explain(&mut fixture, &request);
    expect_that!(chosen, none());
    expect_that!(exclusions, eq(&vec!["leaving"; 4]));
}

#[gtest]
fn explain_distinguishes_other_weights_from_distance() {
    let mut fixture = RouterFixture::new(3, 4);
    let mut spread = fleet(3, 4).with_version(ConfigVersion::new(2));
    let far = spread.servers.get_mut("engine-3").expect("a server");
    far.zone = ZoneId::new("b");
    fixture.handle(Event::Configured(&spread));
    fixture.handle(Event::Load(&LoadReport {
        pace: None,
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(1),
        weights: WeightsVersion::new(9),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    }));
    let request = fixture.request("small", &["house"]);
    let (chosen, exclusions) = explain(&mut fixture, &request);
    expect_that!(chosen, some(eq(&ServerId::new("engine-2"))));
    expect_that!(exclusions, eq(&vec!["weights", "far"]));
}

#[gtest]
fn the_overview_counts_queued_and_in_flight_requests() {
    let mut fixture = RouterFixture::new(1, 1);
    for _ in 0..3 {
        let request = fixture.request("small", &["house"]);
        fixture.handle(Event::Arrived(&request));
    }
    let overview = fixture.router.overview();
    expect_that!(overview.in_flight, eq(1));
    expect_that!(overview.queued, eq([2, 0]));
    expect_that!(overview.version, eq(ConfigVersion::new(1)));
    expect_that!(overview.draining, eq(false));
}

#[gtest]
fn the_overview_counts_suspects_and_quarantined_requests() {
    let mut fixture = RouterFixture::new(3, 4);
    let request = fixture.request("small", &["poison"]);
    let mut sent = fixture.handle(Event::Arrived(&request));
    let suspect_counts = |fixture: &RouterFixture| {
        let overview = fixture.router.overview();
        (overview.suspects, overview.quarantined)
    };
    expect_that!(suspect_counts(&fixture), eq((0, 0)));
    for counts in [(1, 0), (0, 1)] {
        let dispatch = dispatches(&sent)[0].clone();
        let broken = failure(&dispatch, FailureKind::Broken, SendState::MaybeRun, 0);
        sent = fixture.handle(Event::Failed(&broken));
        expect_that!(suspect_counts(&fixture), eq(counts));
    }
}
