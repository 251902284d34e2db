//! Placement around backend servers that leave the fleet, by the reports of the servers, of other
//! entries and of the platform.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches};

fn report(incarnation: u64, leaving: bool) -> LoadReport {
    LoadReport {
        pace: None,
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

/// Each row holds the incarnation that the router knows, the incarnation in the peer's update, the
/// incarnation in a later report by the server itself, if any, and whether the server then receives
/// requests.
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
        let mut fixture = RouterFixture::new(1, 4);
        fixture.handle(Event::Load(&report(known, false)));
        fixture.handle(Event::Server(&leaving_update(updated)));
        if let Some(incarnation) = later {
            fixture.handle(Event::Load(&report(incarnation, false)));
        }
        let request = fixture.request("small", &["house"]);
        let sent = fixture.handle(Event::Arrived(&request));
        expect_that!(
            dispatches(&sent).len(),
            eq(usize::from(serves)),
            "{known} {updated} {later:?}"
        );
    }
}

#[gtest]
fn a_leaving_server_is_broadcast_once() {
    let mut fixture = RouterFixture::new(1, 4);
    fixture.handle(Event::Load(&report(2, false)));
    let actions = fixture.handle(Event::Load(&report(2, true)));
    expect_that!(
        actions,
        elements_are![eq(&Action::BroadcastServer(leaving_update(2)))]
    );
    expect_that!(fixture.handle(Event::Load(&report(2, true))), is_empty());
}

/// The platform's list lags behind. It can mark a server as leaving, but it can clear only a mark
/// that it set itself.
#[gtest]
fn the_platform_list_clears_only_its_own_leaving_marks() {
    let listed = [ServerId::new("engine-1")];
    let serves = |fixture: &mut RouterFixture| {
        let request = fixture.request("small", &["house"]);
        let sent = fixture.handle(Event::Arrived(&request));
        let count = dispatches(&sent).len();
        fixture.handle(Event::CallerDisconnected(request.id));
        count == 1
    };
    let mut fixture = RouterFixture::new(1, 4);
    fixture.handle(Event::Leaving(&listed));
    expect_false!(serves(&mut fixture));
    fixture.handle(Event::Leaving(&[]));
    expect_true!(serves(&mut fixture));
    fixture.handle(Event::Load(&report(2, true)));
    fixture.handle(Event::Leaving(&[]));
    expect_false!(serves(&mut fixture));
}

#[gtest]
fn a_queued_request_is_dispatched_once_the_list_drops_its_server() {
    let mut fixture = RouterFixture::new(1, 4);
    fixture.handle(Event::Leaving(&[ServerId::new("engine-1")]));
    let request = fixture.request("small", &["house"]);
    expect_that!(fixture.handle(Event::Arrived(&request)), is_empty());
    let sent = fixture.handle(Event::Leaving(&[]));
    expect_that!(dispatches(&sent).len(), eq(1));
}
