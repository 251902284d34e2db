//! Slopes and the fleets that they are measured on.

use azureway_core::prelude::{ConfigVersion, Event, Fleet};
use azureway_dev::bench::{FleetSize, RouterFixture};
use azureway_dev::slopes::{CacheEventProbe, HeartbeatProbe, Probe, Sample, Slope};
use googletest::prelude::*;

#[gtest]
fn a_slope_is_the_growth_of_a_straight_line() {
    let sample = |size: u64| Sample {
        size,
        memory: 100 + 7 * size,
        message: 5,
        time: 2.0 * size as f64,
    };
    let slope = Slope::new(&[1, 10, 1_000].map(sample));
    expect_that!(slope.memory, near(7.0, 1e-6));
    expect_that!(slope.message, near(0.0, 1e-6));
    expect_that!(slope.time, near(2.0, 1e-6));
}

#[gtest]
fn the_document_of_a_size_defines_its_fleet() {
    let size = FleetSize {
        replicas: 70,
        zones: 7,
        accounts: 35,
        models: 5,
    };
    let parsed = azureway_config::document::parse(&size.document(), ConfigVersion::new(1));
    let (parsed, made) = (parsed.expect("a good document"), size.fleet(1, 8));
    let counts = |f: &Fleet| (f.servers.len(), f.accounts.len(), f.pools.len());
    expect_that!(counts(&parsed), eq(counts(&made)));
    expect_that!(counts(&made), eq((70, 35, 5)));
}

#[gtest]
fn every_request_of_a_world_is_routed_while_there_are_slots() {
    let mut world = RouterFixture::new(FleetSize::DESIGN, 16);
    for _ in 0..100 {
        let order = world.submit().expect("a free slot");
        world.finish(&order);
    }
    expect_that!(world.router.active(), eq(0));
    expect_that!(world.handle(Event::Tick), none());
}

#[gtest]
fn messages_have_the_same_size_each_time() {
    expect_that!(
        CacheEventProbe::measure(10).message,
        eq(CacheEventProbe::measure(10).message)
    );
    let (none, some) = (HeartbeatProbe::measure(0), HeartbeatProbe::measure(8));
    expect_that!(some.message, gt(none.message));
}
