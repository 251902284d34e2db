//! Placement around backend servers that leave the fleet, by the reports of the servers, of other
//! entries and of the platform.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{Bench, orders};

fn report(incarnation: u64, leaving: bool) -> LoadReport {
    LoadReport {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(incarnation),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving,
    }
}

fn leaving_update(incarnation: u64) -> ServerUpdate {
    ServerUpdate {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(incarnation),
        status: ServerStatus::Leaving,
    }
}

/// Each row: the incarnation known here, the incarnation in the peer's update, the incarnation of
/// a later report by the server itself, if any, and whether the server then receives requests.
#[gtest]
fn a_peer_s_leaving_update_holds_until_the_server_reports() {
    let rows = [
        (2, 2, None, false),
        (2, 1, None, true),
        (2, 3, None, false),
        (2, 2, Some(2), true),
        (2, 2, Some(3), true),
    ];
    for (known, updated, later, serves) in rows {
        let mut bench = Bench::new(1, 4);
        bench.tell(Event::Load(&report(known, false)));
        bench.tell(Event::Server(&leaving_update(updated)));
        if let Some(incarnation) = later {
            bench.tell(Event::Load(&report(incarnation, false)));
        }
        let request = bench.request("small", &["house"]);
        let sent = bench.tell(Event::Arrived(&request));
        expect_that!(
            orders(&sent).len(),
            eq(usize::from(serves)),
            "{known} {updated} {later:?}"
        );
    }
}

#[gtest]
fn a_leaving_server_is_broadcast_once() {
    let mut bench = Bench::new(1, 4);
    bench.tell(Event::Load(&report(2, false)));
    let actions = bench.tell(Event::Load(&report(2, true)));
    expect_that!(
        actions,
        elements_are![eq(&Action::BroadcastServer(leaving_update(2)))]
    );
    expect_that!(bench.tell(Event::Load(&report(2, true))), is_empty());
}

/// The platform's list lags behind, so it can add a leaving mark but clears only its own.
#[gtest]
fn the_platform_list_clears_only_its_own_leaving_marks() {
    let listed = [ServerId::new("engine-1")];
    let serves = |bench: &mut Bench| {
        let request = bench.request("small", &["house"]);
        let sent = bench.tell(Event::Arrived(&request));
        let count = orders(&sent).len();
        bench.tell(Event::CallerDisconnected(request.id));
        count == 1
    };
    let mut bench = Bench::new(1, 4);
    bench.tell(Event::Leaving(&listed));
    expect_false!(serves(&mut bench));
    bench.tell(Event::Leaving(&[]));
    expect_true!(serves(&mut bench));
    bench.tell(Event::Load(&report(2, true)));
    bench.tell(Event::Leaving(&[]));
    expect_false!(serves(&mut bench));
}

#[gtest]
fn a_queued_request_is_dispatched_once_the_list_drops_its_server() {
    let mut bench = Bench::new(1, 4);
    bench.tell(Event::Leaving(&[ServerId::new("engine-1")]));
    let request = bench.request("small", &["house"]);
    expect_that!(bench.tell(Event::Arrived(&request)), is_empty());
    let sent = bench.tell(Event::Leaving(&[]));
    expect_that!(orders(&sent).len(), eq(1));
}
