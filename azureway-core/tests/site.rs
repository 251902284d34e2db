//! What is composed of a site's platform: the list of servers, the configuration and routes.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// How long entries that lapsed while the platform was away may take to come back, as the
/// platform promises.
const LAPSE: Duration = Duration::from_secs(2);

fn entry(name: &str, leaving: bool) -> ListedServer {
    ListedServer {
        id: ServerId::new(name),
        service: ServiceId::new("orders"),
        address: ([127, 0, 0, 1], 9_001).into(),
        zone: ZoneId::new("a"),
        slots: 4,
        leaving,
        incarnation: Incarnation::new(7),
        weights: None,
    }
}

fn document(version: u64) -> SiteDocument {
    SiteDocument {
        version: ConfigVersion::new(version),
        ..SiteDocument::default()
    }
}

fn state() -> SiteState {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    state.configure(document(4));
    state
}

fn listed(state: &mut SiteState) -> Vec<String> {
    let fleet = state.build_fleet().expect("a configuration");
    fleet.servers.keys().map(ToString::to_string).collect()
}

#[gtest]
fn nothing_is_composed_before_there_is_a_configuration() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    state.update_server(entry("s", false));
    expect_that!(state.build_fleet(), none());
}

#[gtest]
fn a_configuration_never_goes_back() {
    let mut state = state();
    expect_that!(state.configure(document(9)), eq(true));
    expect_that!(state.configure(document(5)), eq(false));
    expect_that!(state.version(), some(eq(ConfigVersion::new(9))));
}

#[gtest]
fn each_fleet_has_a_greater_version_than_the_one_before() {
    let mut state = state();
    let first = state.build_fleet().expect("a fleet").version;
    let second = state.build_fleet().expect("a fleet").version;
    expect_that!(second, gt(first));
}

/// Each row: when the platform came back, if it was away; when the entry vanished, both in
/// milliseconds; whether the server was leaving; then until when it is kept.
#[gtest]
fn a_vanished_entry_is_kept_only_where_it_may_have_lapsed() {
    let rows = [
        (None, 5_000, false, None),
        (Some(5_000), 5_010, false, Some(7_000)),
        (Some(5_000), 6_900, false, Some(7_000)),
        (Some(5_000), 7_000, false, None),
        (Some(5_000), 5_010, true, None),
    ];
    for (back, at, leaving, kept) in rows {
        let mut state = state();
        state.update_server(entry("s", leaving));
        let back = back.map(Timestamp::from_millis);
        state.remove_server(&ServerId::new("s"), back, Timestamp::from_millis(at));
        let until = kept.map(Timestamp::from_millis);
        expect_that!(state.next_wakeup(), eq(until), "{back:?} {at} {leaving}");
        expect_that!(listed(&mut state).is_empty(), eq(kept.is_none()));
    }
}

#[gtest]
fn a_lapsed_entry_that_does_not_come_back_is_gone() {
    let (back, now) = (Timestamp::from_millis(5_000), Timestamp::from_millis(5_010));
    let mut state = state();
    state.update_server(entry("s", false));
    state.update_server(entry("t", false));
    state.set_servers(Vec::new(), Some(back), now);
    state.update_server(entry("t", false));
    expect_that!(state.remove_expired(back + LAPSE), eq(true));
    expect_that!(listed(&mut state), elements_are![eq("t")]);
}

#[gtest]
fn a_server_with_newer_weights_than_were_heard_of_is_not_brought_back() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    let service = SiteService {
        id: ServiceId::new("orders"),
        model: Some(ModelId::new("m")),
        fetches: true,
        store: None,
    };
    state.configure(SiteDocument {
        services: vec![service],
        ..document(4)
    });
    let mut newer = entry("s", false);
    newer.weights = Some(WeightsVersion::new(3));
    state.update_server(newer);
    let named = NamedWeights {
        model: ModelId::new("m"),
        version: WeightsVersion::new(2),
    };
    state.add_named(named, Timestamp::ZERO);
    let fleet = state.build_fleet().expect("a fleet");
    expect_that!(fleet.services["orders"].weights, eq(WeightsVersion::new(3)));
}

fn route(host: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    let splits = splits.iter().map(|(s, w)| (ServiceId::new(s), *w));
    Route {
        id: RouteId::new(prefix),
        host: host.into(),
        prefix: prefix.into(),
        splits: splits.collect(),
        kind: RequestKind::Repeatable,
        streamed: false,
        public: false,
        rank: Rank::Urgent,
        priority: 0,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
    }
}

#[gtest]
fn the_longest_prefix_of_the_host_takes_a_path() {
    let mut table = RouteTable::new();
    for prefix in ["/a/", "/a/b/c/", "/a/b/"] {
        table.insert(route("one", prefix, &[("orders", 1)]));
    }
    table.insert(route("two", "/", &[("orders", 1)]));
    let rows = [
        ("one", "/a/x", Some("/a/")),
        ("one", "/a/b/x", Some("/a/b/")),
        ("one", "/a/b/c/x", Some("/a/b/c/")),
        ("one", "/a/bc", Some("/a/")),
        ("one", "/b/", None),
        ("two", "/a/b/x", Some("/")),
        ("three", "/a/x", None),
    ];
    for (host, path, expected) in rows {
        let found = table.find(host, path).map(|r| r.id.as_str());
        expect_that!(found, eq(expected), "{host}{path}");
    }
}

#[gtest]
fn a_split_route_gives_each_service_its_weight() {
    let route = route("one", "/", &[("old", 3), ("new", 1), ("off", 0)]);
    let names = (0..400).map(|draw| route.choose_service(draw).expect("a service").as_str());
    let names: Vec<&str> = names.collect();
    let count = |name: &str| names.iter().filter(|n| **n == name).count();
    expect_that!(
        (count("old"), count("new"), count("off")),
        eq((300, 100, 0))
    );
}

#[gtest]
fn a_route_without_weights_has_no_service() {
    expect_that!(route("one", "/", &[("off", 0)]).choose_service(5), none());
    expect_that!(route("one", "/", &[]).choose_service(5), none());
}

/// A process that starts finds weights 2 named, and the server still has weights 1.
#[gtest]
fn older_weights_answer_for_a_while_after_a_start() {
    let grace = Duration::from_secs(6);
    let start = Timestamp::from_millis(3_600_000);
    for (settle, after, answers) in [
        (0, 0, false),
        (2_000, 0, true),
        (2_000, 1_999, true),
        (2_000, 2_000, false),
        // Never longer than after a name that was heard.
        (6_000, 6_000, false),
    ] {
        let state = SiteState::new(Vec::new(), grace);
        let since = state.named_since(start, Duration::from_millis(settle));
        let rollout = Rollout {
            model: ModelId::new("m"),
            versions: [(WeightsVersion::new(2), since)].into_iter().collect(),
            grace,
        };
        let now = start + Duration::from_millis(after);
        let allowed = rollout.allows(WeightsVersion::new(1), now);
        expect_that!(allowed, eq(answers), "{settle} {after}");
    }
}
