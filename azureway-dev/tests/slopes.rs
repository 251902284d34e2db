//! Tests of the slope measurements and of the fleets that they use.

use azureway_core::prelude::{ConfigVersion, Event, Fleet};
use azureway_dev::bench::{FleetSize, RouterFixture};
use azureway_dev::slopes::{CacheEventProbe, HeartbeatProbe, Probe, Sample, Slope};
use googletest::prelude::*;

#[gtest]
fn a_slope_is_the_gradient_of_linear_samples() {
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
fn a_fleet_size_and_its_document_define_the_same_fleet() {
    let size = FleetSize {
        servers: 70,
        zones: 7,
        accounts: 35,
        models: 5,
    };
    let parsed = azureway_config::document::parse(&size.document(), ConfigVersion::new(1));
    let (parsed, built) = (parsed.expect("a good document"), size.fleet(1, 8));
    let counts = |f: &Fleet| (f.servers.len(), f.accounts.len(), f.pools.len());
    expect_that!(counts(&parsed), eq(counts(&built)));
    expect_that!(counts(&built), eq((70, 35, 5)));
}

#[gtest]
fn every_request_is_dispatched_while_slots_are_free() {
    let mut fixture = RouterFixture::new(FleetSize::DESIGN, 16);
    for _ in 0..100 {
        let dispatch = fixture.submit().expect("a free slot");
        fixture.finish(&dispatch);
    }
    expect_that!(fixture.router.active(), eq(0));
    expect_that!(fixture.handle(Event::Tick), none());
}

#[gtest]
fn message_sizes_are_reproducible_and_grow_with_the_content() {
    expect_that!(
        CacheEventProbe::measure(10).message,
        eq(CacheEventProbe::measure(10).message)
    );
    let (none, some) = (HeartbeatProbe::measure(0), HeartbeatProbe::measure(8));
    expect_that!(some.message, gt(none.message));
}
