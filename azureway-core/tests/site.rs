//! Tests of the state of a site: the list of servers, the configuration and the routes.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// The time within which a server whose registration expired while the platform was unavailable is
/// listed again, as guaranteed by the platform.
const RELIST_TIMEOUT: Duration = Duration::from_secs(2);

fn server(name: &str, leaving: bool) -> ListedServer {
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

fn model_service() -> SiteService {
    SiteService {
        feed_limit: None,
        capacity: None,
        id: ServiceId::new("orders"),
        model: Some(ModelId::new("m")),
        peer_fetch: false,
        store: None,
    }
}

fn state() -> SiteState {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    state.configure(document(4));
    state
}

fn server_names(state: &mut SiteState) -> Vec<String> {
    let fleet = state.build_fleet().expect("a configuration");
    fleet.servers.keys().map(ToString::to_string).collect()
}

#[gtest]
fn no_fleet_is_built_before_there_is_a_configuration() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    state.update_server(server("s", false));
    expect_that!(state.build_fleet(), none());
}

#[gtest]
fn an_older_configuration_is_ignored() {
    let mut state = state();
    expect_that!(state.configure(document(9)), eq(true));
    expect_that!(state.configure(document(5)), eq(false));
    expect_that!(state.version(), some(eq(ConfigVersion::new(9))));
}

#[gtest]
fn each_fleet_has_a_greater_version_than_the_previous_one() {
    let mut state = state();
    let first = state.build_fleet().expect("a fleet").version;
    let second = state.build_fleet().expect("a fleet").version;
    expect_that!(second, gt(first));
}

/// Each row holds when the platform came back after an outage, if there was one; when the server
/// was no longer listed; whether it was leaving; and until when it is kept. Times are in
/// milliseconds.
#[gtest]
fn an_unlisted_server_is_kept_only_after_an_outage() {
    let rows = [
        (None, 5_000, false, None),
        (Some(5_000), 5_010, false, Some(7_000)),
        (Some(5_000), 6_900, false, Some(7_000)),
        (Some(5_000), 7_000, false, None),
        (Some(5_000), 5_010, true, None),
    ];
    for (reconnected, at, leaving, kept) in rows {
        let mut state = state();
        state.update_server(server("s", leaving));
        let reconnected = reconnected.map(Timestamp::from_millis);
        state.remove_server(&ServerId::new("s"), reconnected, Timestamp::from_millis(at));
        let until = kept.map(Timestamp::from_millis);
        expect_that!(
            state.next_wakeup(),
            eq(until),
            "{reconnected:?} {at} {leaving}"
        );
        expect_that!(server_names(&mut state).is_empty(), eq(kept.is_none()));
    }
}

/// Guards against requests to a server that was acknowledged as leaving: a platform that was restored
/// from a copy lists the server as it was before.
#[gtest]
fn a_leaving_server_comes_back_only_in_a_later_incarnation() {
    let mut state = state();
    state.update_server(server("s", true));
    state.set_servers(vec![server("s", false)], None, Timestamp::ZERO);
    let is_leaving = |state: &mut SiteState| {
        let fleet = state.build_fleet().expect("a configuration");
        fleet.servers[&ServerId::new("s")].leaving
    };
    expect_that!(is_leaving(&mut state), eq(true));
    let mut restarted = server("s", false);
    restarted.incarnation = Incarnation::new(8);
    state.update_server(restarted);
    expect_that!(is_leaving(&mut state), eq(false));
}

/// Guards against the same after the server has left: a copy that is older still lists it.
#[gtest]
fn a_server_that_has_left_comes_back_only_in_a_later_incarnation() {
    let mut state = state();
    state.update_server(server("s", true));
    state.update_server(server("t", false));
    state.set_servers(Vec::new(), None, Timestamp::ZERO);
    expect_that!(server_names(&mut state), is_empty());
    // A server whose entry lapsed, but which did not leave, is listed again as it was.
    state.set_servers(
        vec![server("s", false), server("t", false)],
        None,
        Timestamp::ZERO,
    );
    let leaving = |state: &mut SiteState, name| {
        let fleet = state.build_fleet().expect("a configuration");
        fleet.servers[&ServerId::new(name)].leaving
    };
    expect_that!(leaving(&mut state, "s"), eq(true));
    expect_that!(leaving(&mut state, "t"), eq(false));
    let mut restarted = server("s", false);
    restarted.incarnation = Incarnation::new(8);
    state.update_server(restarted);
    expect_that!(leaving(&mut state, "s"), eq(false));
}

/// Guards against a write for each rollout, and against a record of weights that were given up only since this
/// process does not know when newer ones were named. Each row: when newer weights were named, the weights of the server
/// when the older ones are given up, and whether that is stored.
#[gtest]
fn retirements_are_stored_if_a_server_still_has_older_weights() {
    let (grace, start) = (Duration::from_secs(6), Timestamp::from_millis(60_000));
    let rows = [(60_500, 1, true), (60_500, 2, false), (55_000, 1, false)];
    for (named, loaded, expected) in rows {
        let rollouts = Rollouts::new(grace).with_start(start);
        let mut state = SiteState::with_rollouts(Vec::new(), rollouts);
        state.configure(SiteDocument {
            services: vec![model_service()],
            ..document(4)
        });
        state.update_server(ListedServer {
            weights: Some(WeightsVersion::new(loaded)),
            ..server("s", false)
        });
        let weights = NamedWeights {
            model: ModelId::new("m"),
            version: WeightsVersion::new(2),
        };
        state
            .rollouts_mut()
            .add(weights, Timestamp::from_millis(named));
        expect_that!(state.unstored_retirements(), is_empty());
        let early = Timestamp::from_millis(61_000);
        let retired = state.rollouts_mut().retire(early);
        expect_that!(retired.is_empty(), eq(named > 60_000), "{named} {loaded}");
        let until = start + Duration::from_millis(if named > 60_000 { 6_500 } else { 5_999 });
        state.rollouts_mut().retire(until);
        let unstored = state.unstored_retirements();
        expect_that!(
            unstored.len(),
            eq(usize::from(expected)),
            "{named} {loaded}"
        );
        for (model, oldest) in unstored {
            state.rollouts_mut().record_stored(&model, oldest);
        }
        expect_that!(state.unstored_retirements(), is_empty());
        // A copy of the store may lack it.
        state.rollouts_mut().record_disturbance(Disturbance {
            since: until,
            until: until + Duration::from_secs(1),
            restored: true,
        });
        let unstored = state.unstored_retirements();
        expect_that!(
            unstored.len(),
            eq(usize::from(expected)),
            "{named} {loaded}"
        );
    }
}

#[gtest]
fn a_missing_server_that_is_not_listed_again_is_removed() {
    let (reconnected, now) = (Timestamp::from_millis(5_000), Timestamp::from_millis(5_010));
    let mut state = state();
    state.update_server(server("s", false));
    state.update_server(server("t", false));
    state.set_servers(Vec::new(), Some(reconnected), now);
    state.update_server(server("t", false));
    expect_that!(state.remove_expired(reconnected + RELIST_TIMEOUT), eq(true));
    expect_that!(server_names(&mut state), elements_are![eq("t")]);
}

/// Each row holds when the platform came back after an outage, if there was one; until when answers
/// then report every change; and until when the fleet's list of servers counts as complete, which was
/// 1,000 before. Times are in milliseconds.
///
/// Guards against a list from the end of an outage that still names the incarnations from before
/// it, and clears the reports of crashes in the outage.
#[gtest]
fn a_list_counts_as_complete_only_some_time_after_an_outage() {
    let rows = [
        (None, 2_000, 2_000),
        (Some(9_000), 9_000, 1_000),
        (Some(9_000), 13_999, 1_000),
        (Some(9_000), 14_000, 14_000),
        (Some(9_000), 60_000, 60_000),
    ];
    for (reconnected, until, expected) in rows {
        let mut state = state();
        state.set_listed_until(Timestamp::from_millis(1_000), None);
        let reconnected = reconnected.map(Timestamp::from_millis);
        state.set_listed_until(Timestamp::from_millis(until), reconnected);
        let fleet = state.build_fleet().expect("a configuration");
        let expected = Timestamp::from_millis(expected);
        expect_that!(fleet.listed_until, eq(expected), "{reconnected:?} {until}");
    }
}

#[gtest]
fn a_server_with_newer_weights_than_named_keeps_them() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    let service = SiteService {
        feed_limit: None,
        capacity: None,
        id: ServiceId::new("orders"),
        model: Some(ModelId::new("m")),
        peer_fetch: true,
        store: None,
    };
    state.configure(SiteDocument {
        services: vec![service],
        ..document(4)
    });
    let mut newer = server("s", false);
    newer.weights = Some(WeightsVersion::new(3));
    state.update_server(newer);
    let named = NamedWeights {
        model: ModelId::new("m"),
        version: WeightsVersion::new(2),
    };
    state.rollouts_mut().add(named, Timestamp::ZERO);
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
fn the_longest_matching_prefix_of_the_host_is_chosen() {
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
fn a_split_route_distributes_requests_by_weight() {
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

/// A process that starts finds that weights 2 are named while the server still has weights 1.
#[gtest]
fn older_weights_may_serve_for_a_grace_period_after_a_start() {
    let grace = Duration::from_secs(6);
    let start = Timestamp::from_millis(3_600_000);
    for (settle, after, allowed_then) in [
        (0, 0, false),
        (2_000, 0, true),
        (2_000, 1_999, true),
        (2_000, 2_000, false),
        // The grace period ends no later than for a process that saw the weights being named.
        (6_000, 6_000, false),
    ] {
        let since = Rollouts::new(grace).named_since(start, Duration::from_millis(settle));
        let rollout = Rollout {
            model: ModelId::new("m"),
            versions: [(WeightsVersion::new(2), since)].into_iter().collect(),
            grace,
            margin: Duration::ZERO,
            undisturbed: Timestamp::ZERO,
            retired: None,
        };
        let now = start + Duration::from_millis(after);
        let allowed = rollout.allows(WeightsVersion::new(1), now);
        expect_that!(allowed, eq(allowed_then), "{settle} {after}");
    }
}

/// Guards against a server of a service that is not configured, and one of an unknown zone, that
/// change what the others get.
#[gtest]
fn a_server_of_an_unknown_service_gets_no_requests_and_the_others_hold() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    state.configure(SiteDocument {
        services: vec![model_service()],
        ..document(4)
    });
    state.update_server(server("known", false));
    for name in ["", "unknown", "other"] {
        state.update_server(ListedServer {
            service: ServiceId::new(name),
            zone: ZoneId::new(name),
            weights: Some(WeightsVersion::new(u64::MAX)),
            slots: u32::MAX,
            ..server(&format!("of {name}"), false)
        });
    }
    let fleet = state.build_fleet().expect("a configuration");
    let service = &fleet.services[&ServiceId::new("orders")];
    expect_that!(service.weights, eq(WeightsVersion::new(1)));
    let pool = |s: &&BackendServer| s.pool == service.pool;
    let names: Vec<_> = fleet
        .servers
        .values()
        .filter(pool)
        .map(|s| s.id.as_str())
        .collect();
    expect_that!(names, elements_are![eq(&"known")]);
    let mut router = Router::new(RouterConfig::new(ZoneId::new("a")), PrefixLoad::new());
    let mut out = Vec::new();
    router.handle(
        Event::Configured(&fleet),
        Timestamp::from_millis(1),
        &mut out,
    );
    expect_that!(router.servers().iter().count(), eq(4));
    expect_that!(router.servers().in_pool(&service.pool).count(), eq(1));
}

/// Guards against a leaving server that gets requests again because a restored platform lists an
/// incarnation from before its restart.
#[gtest]
fn an_earlier_incarnation_in_a_copy_does_not_bring_a_leaving_server_back() {
    let mut state = state();
    let mut newest = server("s", true);
    newest.incarnation = Incarnation::new(8);
    state.update_server(newest);
    let now = Timestamp::from_millis(5_000);
    state.set_servers(vec![server("s", false)], Some(now), now);
    let fleet = state.build_fleet().expect("a fleet");
    expect_true!(fleet.servers["s"].leaving);
}

#[gtest]
fn servers_have_the_capacity_of_their_service() {
    let mut state = SiteState::new(Vec::new(), Duration::ZERO);
    let capacity = EngineCapacity {
        memory: TokenCount::new(90_000),
        token_bytes: 4_096,
        link: 400_000,
    };
    let service = SiteService {
        feed_limit: None,
        capacity: Some(capacity),
        id: ServiceId::new("orders"),
        model: Some(ModelId::new("m")),
        peer_fetch: true,
        store: None,
    };
    state.configure(SiteDocument {
        services: vec![service],
        ..document(4)
    });
    state.update_server(server("s", false));
    let fleet = state.build_fleet().expect("a fleet");
    expect_that!(fleet.servers["s"].capacity, some(eq(capacity)));
}

#[gtest]
fn a_limit_that_cannot_be_read_leaves_the_last_one_in_force() {
    let limit = AccountLimit::new(1_000).with_burst(500);
    let account = ClientAccount::new(AccountId::new("x"));
    let mut state = state();
    state.configure(SiteDocument {
        accounts: vec![account.clone().with_limit(limit)],
        ..document(5)
    });
    state.configure(SiteDocument {
        accounts: vec![account.clone()],
        limit_faults: vec![(account.id.clone(), "rate -1".into())],
        ..document(6)
    });
    let fleet = state.build_fleet().expect("a fleet");
    expect_that!(fleet.accounts["x"].limit, some(eq(limit)));
    state.configure(SiteDocument {
        accounts: vec![account],
        ..document(7)
    });
    let fleet = state.build_fleet().expect("a fleet");
    expect_that!(fleet.accounts["x"].limit, none());
}
