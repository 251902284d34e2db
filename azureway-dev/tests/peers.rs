//! Tests of the entry instances' exchange with one another, over sockets.

mod support;

use azureway_config::settings::Bounds;
use azureway_core::prelude::ConfigVersion;
use azureway_dev::engine::EngineConfig;
use azureway_dev::platform::PlatformFaults;
use azureway_dev::serve::{Layout, System};
use googletest::prelude::*;

fn system(zones: &[&'static str], entries: usize) -> System {
    let layout = Layout::new()
        .with_zones(zones)
        .with_engines(1)
        .with_entries(entries);
    let system = System::start(&layout, &EngineConfig::new(), &Bounds::new());
    let system = system.expect("the system starts");
    system.wait_ready();
    system
}

fn outage() -> PlatformFaults {
    PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    }
}

#[gtest]
fn an_entry_restarted_in_an_outage_gets_the_configuration_from_a_peer() {
    let mut system = system(&["kranj-a"], 2);
    system.platform.set_faults(outage());
    system.restart(0).expect("a restart");
    system.wait_version(ConfigVersion::new(1));
    let answer = support::post(&system, "/v1/chat/completions", &support::chat(false, 3));
    expect_that!(answer.status_code, eq(200));
    system.drain();
}

#[gtest]
fn a_zone_restarted_in_an_outage_gets_the_configuration_from_another_zone() {
    let mut system = system(&["kranj-a", "koper-a"], 2);
    system.platform.set_faults(outage());
    system.restart(0).expect("a restart");
    system.restart(1).expect("a restart");
    system.wait_version(ConfigVersion::new(1));
    system.drain();
}

#[gtest]
fn a_new_configuration_version_reaches_every_entry() {
    let system = system(&["kranj-a", "koper-a"], 3);
    let document = format!("{}\n[account new]\n", system.document);
    let version = system.platform.seed("config", "document", &document);
    system.wait_version(ConfigVersion::new(version));
    system.drain();
}
