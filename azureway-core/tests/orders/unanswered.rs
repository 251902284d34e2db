//! Orders that get no answer and are carried out late, by servers of a large pool.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

use crate::late_servers::{LateCluster, LateServer};

/// The time for which older weights may answer requests on the larger sites, less the margin for
/// requests that wait in a server.
const GRACE: Duration = Duration::from_secs(8);
/// The time after which no server of a larger site may have older weights.
const LIMIT: Duration = Duration::from_secs(14);
/// The seeds of the drawn runs.
const SEEDS: std::ops::Range<u64> = 1..7;

/// Guards against a rollout that waits for the servers that do not answer: older weights end before
/// most servers have newer ones.
#[gtest]
fn a_pool_loads_in_time_although_half_of_the_orders_get_no_answer() {
    for seed in SEEDS.take(3) {
        let mut cluster = LateCluster::new(140, 6, 28, seed);
        cluster.lost = 50;
        for (version, time) in [(2, 600), (3, 700)] {
            cluster.require(version);
            cluster.run(Duration::from_millis(time));
        }
        cluster.require(4);
        cluster.run(GRACE);
        let newest = |s: &&LateServer| s.weights == WeightsVersion::new(4);
        let loaded = cluster.servers.iter().filter(newest).count();
        expect_that!(loaded, ge(126), "seed {seed}");
        let rest = cluster.run_until_loaded(4, LIMIT.saturating_sub(GRACE));
        expect_that!(rest, some(anything()), "seed {seed}");
    }
}

/// Guards against an order that is carried out after a newer one and takes its server back to older
/// weights, which nobody notices.
#[gtest]
fn late_orders_leave_no_server_on_older_weights() {
    for seed in SEEDS {
        let mut cluster = LateCluster::new(9, 3, 2, seed);
        cluster.lost = 50;
        for (version, time) in [(2, 600), (3, 700), (4, 6_700)] {
            cluster.require(version);
            cluster.run(Duration::from_millis(time));
        }
        cluster.lost = 0;
        cluster.run(Duration::from_secs(4));
        cluster.require(5);
        cluster.run(Duration::from_secs(20));
        let newest = |s: &LateServer| s.weights == WeightsVersion::new(5);
        expect_that!(cluster.servers.iter().all(newest), eq(true), "seed {seed}");
        expect_that!(cluster.reverted, eq(false), "seed {seed}");
    }
}

/// Shows that servers which do not count their orders are taken back, so that the test above can fail.
#[gtest]
fn servers_that_count_no_orders_are_taken_back_by_late_ones() {
    let reverted = SEEDS.filter(|seed| {
        let mut cluster = LateCluster::new(9, 3, 2, *seed);
        (cluster.lost, cluster.uncounted) = (50, true);
        for (version, time) in [(2, 600), (3, 700), (4, 6_700)] {
            cluster.require(version);
            cluster.run(Duration::from_millis(time));
        }
        cluster.lost = 0;
        cluster.run(Duration::from_secs(20));
        cluster.reverted
    });
    expect_that!(reverted.count(), gt(0));
}

/// Guards against servers that never answer and take the places of those that do.
#[gtest]
fn silent_servers_do_not_hold_up_the_others() {
    let mut cluster = LateCluster::new(140, 6, 28, 1);
    for server in cluster.servers.iter_mut().take(28) {
        server.silent = true;
    }
    cluster.require(2);
    expect_that!(cluster.run_until_loaded(2, GRACE), some(lt(GRACE)));
}

/// Guards against a silent server that gets as many orders as the network carries.
#[gtest]
fn a_silent_server_is_ordered_at_most_each_second() {
    let mut cluster = LateCluster::new(2, 1, 2, 1);
    cluster.servers[0].silent = true;
    cluster.require(2);
    cluster.run(Duration::from_secs(5));
    cluster.take_sent();
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.take_sent(), all![ge(5), le(10)]);
}

/// Guards against zones that lose all of their servers at once, since servers are ordered by name.
#[gtest]
fn zones_take_turns_in_a_rollout() {
    let mut cluster = LateCluster::new(120, 6, 24, 1);
    cluster.require(2);
    // Two of five rounds.
    cluster.run(Duration::from_millis(1_800));
    for zone in 0..6 {
        let servers = &cluster.servers[zone * 20..][..20];
        let new = servers
            .iter()
            .filter(|s| s.weights == WeightsVersion::new(2));
        expect_that!(new.count(), all![ge(4), le(12)], "zone {zone}");
    }
}

/// Guards against a new holder of the lease whose orders all servers reject, since it does not know how
/// many they have accepted.
#[gtest]
fn a_new_holder_learns_how_many_orders_servers_have_accepted() {
    let mut cluster = LateCluster::new(9, 3, 2, 1);
    cluster.require(2);
    expect_that!(cluster.run_until_loaded(2, GRACE), some(anything()));
    cluster.replace_holder();
    cluster.require(3);
    expect_that!(cluster.run_until_loaded(3, GRACE), some(anything()));
}

/// Guards against a server that restarts during its load under its name, and is not ordered again
/// before older weights end.
#[gtest]
fn a_server_that_restarts_during_its_load_is_ordered_again() {
    let mut cluster = LateCluster::new(3, 1, 2, 1);
    cluster.require(2);
    expect_that!(cluster.run_until_loaded(2, GRACE), some(anything()));
    cluster.require(3);
    cluster.run(Duration::from_millis(200));
    cluster.restart(0);
    let limit = Duration::from_secs(5);
    expect_that!(cluster.run_until_loaded(3, limit), some(anything()));
}

/// A planner and the fleet that it knows, whose servers all have the same state.
struct Planned {
    planner: OrderPlanner,
    fleet: Fleet,
    now: Timestamp,
}

impl Planned {
    /// Creates a planner of `count` servers with weights 1 that are to load weights 2.
    fn new(count: usize) -> Self {
        let config = OrderConfig::new().with_store_rate(1_000);
        let mut planned = Self {
            planner: OrderPlanner::new(config),
            fleet: crate::support::fleet(count, 1),
            now: Timestamp::from_millis(3_600_000),
        };
        planned.list(2, 1, 1);
        planned
    }

    /// Lists the servers with these weights and this incarnation, and requires `wanted`.
    fn list(&mut self, wanted: u64, weights: u64, incarnation: u64) {
        self.fleet.version = self.fleet.version.next();
        for service in self.fleet.services.values_mut() {
            service.weights = WeightsVersion::new(wanted);
        }
        for server in self.fleet.servers.values_mut() {
            server.listed = Some(ListedState {
                incarnation: Incarnation::new(incarnation),
                weights: Some(WeightsVersion::new(weights)),
            });
        }
        self.planner.adopt(&self.fleet);
    }

    /// Returns the next order, a moment later.
    fn next(&mut self) -> Option<LoadOrder> {
        self.now = self.now + Duration::from_millis(10);
        self.planner.next_order(self.now)
    }

    fn answer(&mut self, order: &LoadOrder, answer: OrderAnswer) {
        self.planner.record_answer(order, answer, self.now);
    }

    /// Records what the server of an order tells: its weights and the number of its accepted orders.
    fn status(&mut self, order: &LoadOrder, weights: u64, accepted: u64) -> LoadProgress {
        let status = OrderStatus {
            weights: WeightsVersion::new(weights),
            busy: false,
            accepted,
        };
        self.planner.record_status(order, &status, self.now)
    }
}

/// Guards against a server that rejects every order since its restart: the answer of its earlier
/// incarnation, which arrived late, raised the number of its accepted orders.
#[gtest]
fn an_answer_of_an_earlier_incarnation_does_not_count() {
    let mut planned = Planned::new(1);
    let order = planned.next().expect("an order");
    planned.list(2, 1, 2);
    planned.answer(&order, OrderAnswer::Taken);
    expect_that!(planned.status(&order, 1, 1), eq(LoadProgress::Outdated));
    let next = planned.next().expect("an order");
    expect_that!(next.accepted, eq(0));
    expect_that!(next.incarnation, eq(Incarnation::new(2)));
}

/// Guards against an order without an announcement, because an order of earlier weights had got no answer.
#[gtest]
fn a_silence_ends_with_the_load() {
    let mut planned = Planned::new(1);
    let order = planned.next().expect("an order");
    planned.answer(&order, OrderAnswer::Unanswered);
    let repeated = planned.next().expect("an order");
    expect_that!(repeated.repeated, eq(true));
    planned
        .planner
        .observe_weights(&order.server, WeightsVersion::new(2));
    planned.list(3, 2, 1);
    let next = planned.next().expect("an order");
    expect_that!(next.repeated, eq(false));
}

/// Guards against a server that stays on older weights, since what the list tells of it is not believed.
#[gtest]
fn a_server_that_the_list_shows_with_older_weights_again_is_ordered() {
    let mut planned = Planned::new(2);
    planned.list(2, 2, 1);
    expect_that!(planned.next(), none());
    planned.list(2, 1, 1);
    let order = planned.next().expect("an order");
    expect_that!(order.weights, eq(WeightsVersion::new(2)));
}

/// Guards against an order back to older weights by a holder that hears late of newer ones, where
/// weights only become newer.
#[gtest]
fn a_server_with_newer_weights_is_not_ordered_back() {
    for forward in [true, false] {
        let mut planned = Planned::new(2);
        for service in planned.fleet.services.values_mut() {
            service.rollout = forward.then(|| Rollout {
                model: ModelId::new("m"),
                versions: [].into_iter().collect(),
                grace: GRACE,
                margin: Duration::ZERO,
                undisturbed: Timestamp::ZERO,
                retired: None,
            });
        }
        planned.list(2, 2, 1);
        let server = planned.fleet.servers.keys().next().expect("a server");
        planned
            .planner
            .observe_weights(server, WeightsVersion::new(3));
        let ordered = planned.next().map(|o| o.weights.get());
        expect_that!(ordered, eq((!forward).then_some(2)));
    }
}

/// Guards against a load that is dropped, and ordered again, by what its server told of the one before.
#[gtest]
fn the_state_of_an_earlier_order_does_not_end_a_load() {
    let mut planned = Planned::new(1);
    let first = planned.next().expect("an order");
    planned.answer(&first, OrderAnswer::Taken);
    planned
        .planner
        .observe_weights(&first.server, WeightsVersion::new(2));
    planned.list(3, 2, 1);
    let second = planned.next().expect("an order");
    expect_that!(second.accepted, eq(1));
    planned.answer(&second, OrderAnswer::Taken);
    expect_that!(planned.status(&first, 2, 1), eq(LoadProgress::Outdated));
    expect_that!(planned.next(), none());
    // A state from before the second order does not end its load either.
    expect_that!(planned.status(&second, 2, 1), eq(LoadProgress::Loading));
    expect_that!(planned.next(), none());
    expect_that!(planned.status(&second, 3, 2), eq(LoadProgress::Loaded));
    planned.list(4, 3, 1);
    expect_that!(planned.next().map(|o| o.accepted), some(eq(2)));
}

/// Guards against a server that carries out orders but answers late, and is ordered without end.
#[gtest]
fn a_server_that_only_answers_late_is_counted_by_what_it_tells() {
    let mut planned = Planned::new(1);
    let mut order = planned.next().expect("an order");
    while !planned.planner.is_silent(&order.server) {
        planned.answer(&order, OrderAnswer::Unanswered);
        order = planned.next().unwrap_or(order);
    }
    expect_that!(planned.status(&order, 1, 1), eq(LoadProgress::Idle));
    expect_that!(planned.next().map(|o| o.accepted), some(eq(1)));
}

/// Guards against a load of weights that were replaced between the announcement and the order.
#[gtest]
fn an_announced_order_of_replaced_weights_is_not_sent() {
    let mut fleet = crate::support::fleet(2, 1);
    let require = |fleet: &mut Fleet, version| {
        fleet.version = fleet.version.next();
        for service in fleet.services.values_mut() {
            service.weights = WeightsVersion::new(version);
        }
    };
    let now = Timestamp::from_millis(3_600_000);
    let mut planner = OrderPlanner::new(OrderConfig::new().with_store_rate(1_000));
    require(&mut fleet, 2);
    planner.adopt(&fleet);
    for server in fleet.servers.keys() {
        planner.observe_weights(server, WeightsVersion::new(1));
    }
    let order = planner.next_order(now).expect("an order");
    fleet.version = fleet.version.next();
    planner.adopt(&fleet);
    expect_that!(planner.withdraw_outdated(&order), eq(false));
    require(&mut fleet, 3);
    planner.adopt(&fleet);
    expect_that!(planner.withdraw_outdated(&order), eq(true));
    let later = now + Duration::from_millis(10);
    let next = planner.next_order(later).expect("an order");
    expect_that!(next.server, eq(&order.server));
    expect_that!(next.weights, eq(WeightsVersion::new(3)));
}
