//! Tests of the operators' document: the fleet that it defines, and its faults.

use azureway_config::{document, settings};
use azureway_core::prelude::*;
use googletest::prelude::*;

const VALID: &str = "
[pool main]
loads = 2
[server kranj-1]
pool = main
zone = kranj-a
address = 10.0.0.7:8000
slots = 4
[service advice]
pool = main
weights = 3
[account wax-desk]
team = retail
weight = 2
limit = 500
[ranks]
floor = 15
urgent = 900
";

fn faults(text: &str) -> String {
    let result = document::parse(text, ConfigVersion::new(1));
    result.expect_err("the document is wrong").to_string()
}

#[gtest]
fn a_document_defines_a_fleet() {
    let fleet = document::parse(VALID, ConfigVersion::new(7)).expect("the document is good");
    expect_that!(fleet.version, eq(ConfigVersion::new(7)));
    expect_that!(fleet.servers["kranj-1"].slots, eq(4));
    expect_that!(fleet.services["advice"].weights, eq(WeightsVersion::new(3)));
    expect_that!(
        fleet.accounts["wax-desk"].limit.map(|l| l.rate),
        some(eq(500))
    );
    expect_that!(fleet.rules.drafting_share, eq(15));
}

#[gtest]
fn every_fault_is_reported_with_its_line() {
    let text =
        "[pool main]\nlodes = 2\n[server s]\npool = other\nzone = a\naddress = here\n[thing]\n";
    let faults = faults(text);
    expect_that!(
        faults,
        contains_substring("line 2: [pool main] lodes: unknown key; did you mean `loads`?")
    );
    expect_that!(
        faults,
        contains_substring("line 4: [server s] pool: no section [pool other] exists")
    );
    expect_that!(
        faults,
        contains_substring("line 6: [server s] address: expected an IP address")
    );
    expect_that!(faults, contains_substring("line 7: [thing]: unknown kind"));
}

#[gtest]
fn faults_of_the_settings_state_the_line() {
    let text = "[entry]\ninstance = e1\nzone = a\nlisten = nowhere\n";
    let faults = settings::parse(text)
        .expect_err("the settings are wrong")
        .to_string();
    expect_that!(
        faults,
        contains_substring("line 4: [entry] listen: expected an IP address")
    );
    expect_that!(faults, contains_substring("[entry] platform: missing"));
}

#[gtest]
fn the_example_documents_are_valid() {
    for text in [
        include_str!("../../examples/smucarski-vosek.ini"),
        include_str!("../../examples/corchos.ini"),
    ] {
        let fleet = document::parse(text, ConfigVersion::new(1)).expect("a good document");
        let models = fleet
            .servers
            .values()
            .filter(|s| s.pool.as_str() == "engines");
        expect_that!(models.count(), eq(9));
        expect_that!(fleet.zones.len(), eq(3));
        expect_that!(fleet.accounts.len(), eq(8));
    }
}

#[gtest]
fn servers_may_only_use_zones_that_the_document_defines() {
    let text = "[pool p]\n[zone a]\nregion = r\n[zone b]\n\
                [server s]\npool = p\nzone = c\naddress = 10.0.0.7:80\n";
    let faults = faults(text);
    expect_that!(faults, contains_substring("[zone b] region: missing"));
    expect_that!(
        faults,
        contains_substring("[server s] zone: no section [zone c] exists")
    );
}

#[gtest]
fn faults_across_sections_are_reported() {
    let digest = "0123456789abcdef".repeat(4);
    let text = format!(
        "[account a]\nkeys = {digest}\n[account b]\nkeys = {digest}\n[ranks]\n[ranks]\n\
         [account c/d]\n[account e]\nkeys = sekrit\n"
    );
    let faults = faults(&text);
    expect_that!(
        faults,
        contains_substring("line 4: [account b] keys: an API key is also")
    );
    expect_that!(faults, contains_substring("line 6: [ranks]: defined twice"));
    expect_that!(
        faults,
        contains_substring("line 7: [account c/d]: expected a header with a name")
    );
    expect_that!(faults, not(contains_substring("sekrit")));
}
