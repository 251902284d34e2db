//! Backend servers that leave, by what other entries say.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{Bench, orders};

fn report(life: u64, leaving: bool) -> LoadReport {
    LoadReport {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(life),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving,
    }
}

fn news(life: u64) -> ServerUpdate {
    ServerUpdate {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(life),
        status: ServerStatus::Leaving,
    }
}

/// Each row: the incarnation that is known here, the one that is told of, and whether the
/// server's own later word follows; then whether it gets work.
#[gtest]
fn a_peer_s_word_holds_until_the_server_s_own() {
    let rows = [
        (2, 2, None, false),
        (2, 1, None, true),
        (2, 3, None, false),
        (2, 2, Some(2), true),
        (2, 2, Some(3), true),
    ];
    for (known, told, later, serves) in rows {
        let mut bench = Bench::new(1, 4);
        bench.tell(Event::Load(&report(known, false)));
        bench.tell(Event::Server(&news(told)));
        if let Some(life) = later {
            bench.tell(Event::Load(&report(life, false)));
        }
        let request = bench.request("small", &["house"]);
        let sent = bench.tell(Event::Arrived(&request));
        expect_that!(
            orders(&sent).len(),
            eq(usize::from(serves)),
            "{known} {told} {later:?}"
        );
    }
}

#[gtest]
fn a_leaving_server_is_told_of_once() {
    let mut bench = Bench::new(1, 4);
    bench.tell(Event::Load(&report(2, false)));
    let told = bench.tell(Event::Load(&report(2, true)));
    expect_that!(told, elements_are![eq(&Action::BroadcastServer(news(2)))]);
    expect_that!(bench.tell(Event::Load(&report(2, true))), is_empty());
}

/// The platform's list lags: it adds to what others say and takes back only what it said.
#[gtest]
fn the_list_keeps_work_away_for_as_long_as_it_names_a_server() {
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
fn what_waits_is_sent_once_the_list_no_longer_names_the_server() {
    let mut bench = Bench::new(1, 4);
    bench.tell(Event::Leaving(&[ServerId::new("engine-1")]));
    let request = bench.request("small", &["house"]);
    expect_that!(bench.tell(Event::Arrived(&request)), is_empty());
    let sent = bench.tell(Event::Leaving(&[]));
    expect_that!(orders(&sent).len(), eq(1));
}
