//! Parsing of the document into the fleet that it defines.

use std::time::Duration;

use azureway_core::prelude::*;

use super::name::{NAME_FORMAT, is_valid_name};
use crate::ini::{self, Faults, Section, SectionReader};

/// The known kinds of sections.
/// The limit of a client account that sets none, in tokens a second.
const DEFAULT_LIMIT: u64 = 1_000_000;
/// The burst of an account's limit, as seconds of its rate.
const BURST_SECONDS: u64 = 2;
const KINDS: [&str; 6] = ["account", "service", "pool", "server", "zone", "ranks"];

/// Parses the text of the document, which is stored as `version`.
///
/// # Errors
///
/// Returns every fault of the text, including references to names that are not defined.
pub fn parse(text: &str, version: ConfigVersion) -> Result<Fleet, Faults> {
    let sections = ini::parse(text)?;
    let mut faults = Faults::new();
    let mut fleet = Fleet::new().with_version(version);
    for section in &sections {
        read_section(section, &mut fleet, &mut faults);
    }
    check_ranks(&sections, &mut faults);
    for section in &sections {
        check_references(section, &fleet, &mut faults);
        check_keys(section, &fleet, &mut faults);
    }
    faults.into_result(fleet)
}

fn read_section(section: &Section<'_>, fleet: &mut Fleet, faults: &mut Faults) {
    let (kind, name) = section.split();
    let mut reader = SectionReader::new(section, faults);
    check_names(kind, name, &mut reader);
    let duplicate = match kind {
        "account" => {
            let account = read_account(name, &mut reader);
            fleet.accounts.insert(account.id.clone(), account).is_some()
        }
        "service" => read_service(name, &mut reader)
            .is_some_and(|s| fleet.services.insert(s.id.clone(), s).is_some()),
        "pool" => {
            let pool = read_pool(name, &mut reader);
            fleet.pools.insert(pool.id.clone(), pool).is_some()
        }
        "server" => read_server(name, &mut reader)
            .is_some_and(|s| fleet.servers.insert(s.id.clone(), s).is_some()),
        "zone" => read_zone(name, &mut reader)
            .is_some_and(|z| fleet.zones.insert(z.id.clone(), z).is_some()),
        "ranks" => {
            fleet.rules = read_ranks(&mut reader);
            false
        }
        _ => {
            reader.add_fault(
                None,
                format!("unknown kind; expected one of {}", KINDS.join(", ")),
            );
            return;
        }
    };
    if duplicate {
        reader.add_fault(None, "defined twice".to_owned());
    }
    reader.finish();
}

/// Reports an invalid section name or team name.
fn check_names(kind: &str, name: &str, reader: &mut SectionReader<'_, '_>) {
    let team = reader.text("team");
    if team.is_some_and(|t| !is_valid_name(t)) {
        reader.add_fault(Some("team"), format!("expected {NAME_FORMAT}"));
    }
    if !name.is_empty() && !is_valid_name(name) {
        reader.add_fault(None, format!("expected a header with {NAME_FORMAT}"));
    }
    if name.is_empty() != (kind == "ranks") && KINDS.contains(&kind) {
        reader.add_fault(None, format!("expected a header such as [{kind} NAME]"));
    }
}

fn read_account(name: &str, reader: &mut SectionReader<'_, '_>) -> ClientAccount {
    let base = ClientAccount::new(AccountId::new(name));
    let weight = reader.number("weight", base.weight, 1, 1_000, "shares");
    let limit = reader.number("limit", DEFAULT_LIMIT, 1, 1_000_000_000, "tokens a second");
    let expected = "SHA-256 digests of 64 hexadecimal digits, split by commas";
    let keys = reader.secret("keys", Vec::new(), expected, |text| {
        text.split(',').map(|k| KeyHash::parse(k.trim())).collect()
    });
    let account = base
        .with_weight(weight)
        .with_limit(AccountLimit::new(limit).with_burst(BURST_SECONDS * limit));
    keys.into_iter().fold(account, ClientAccount::with_key)
}

fn read_service(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<ModelService> {
    let pool = reader.required("pool", "the name of a pool");
    let kind = reader.value(
        "kind",
        ServiceKind::Model,
        "`model` or `plain`",
        ServiceKind::parse,
    );
    let weights = reader.number("weights", 1, 1, u64::MAX, "the weights version");
    let expected = "`repeatable` or `at-most-once`";
    let request_kind = reader.value(
        "calls",
        RequestKind::Repeatable,
        expected,
        RequestKind::parse,
    );
    let service = ModelService::new(ServiceId::new(name), PoolId::new(pool?));
    Some(
        service
            .with_kind(kind)
            .with_weights(WeightsVersion::new(weights))
            .with_request_kind(request_kind),
    )
}

fn read_pool(name: &str, reader: &mut SectionReader<'_, '_>) -> BackendServerPool {
    let base = BackendServerPool::new(PoolId::new(name));
    let max_loads = reader.number("loads", base.max_loads, 1, 100, "servers");
    base.with_max_loads(max_loads)
}

fn read_server(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<BackendServer> {
    let pool = reader.required("pool", "the name of a pool");
    let zone = reader.required("zone", "the name of an availability zone");
    let expected = "an IP address and a port, such as 10.0.0.7:8000";
    let address = reader.required_value("address", expected, |text| text.parse().ok());
    let slots = reader.number("slots", 8, 1, 4_096, "requests");
    let prefill = reader.number("prefill", 8_000, 1, 10_000_000, "tokens a second");
    let (fenced, deduplicates) = (reader.flag("fenced", false), reader.flag("keyed", false));
    let leaving = reader.flag("leaving", false);
    let id = ServerId::new(name);
    let mut server = BackendServer::new(id, PoolId::new(pool?), ZoneId::new(zone?), address?);
    server.fenced = fenced;
    server.deduplicates = deduplicates;
    server.leaving = leaving;
    Some(
        server
            .with_slots(slots)
            .with_prefill(TokenRate::new(prefill)),
    )
}

fn read_zone(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<AvailabilityZone> {
    let region = reader.required("region", "the name of a region")?;
    Some(AvailabilityZone::new(ZoneId::new(name), region))
}

fn read_ranks(reader: &mut SectionReader<'_, '_>) -> RankRules {
    let base = RankRules::new();
    let mut millis = |key, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(reader.number(key, default, 1, 3_600_000, "milliseconds"))
    };
    let urgent_timeout = millis("urgent", base.urgent_timeout);
    let drafting_timeout = millis("drafting", base.drafting_timeout);
    let drafting_share = reader.number("floor", base.drafting_share, 0, 90, "percent");
    RankRules {
        drafting_share,
        urgent_timeout,
        drafting_timeout,
    }
}

/// Reports every `[ranks]` section after the first.
fn check_ranks(sections: &[Section<'_>], faults: &mut Faults) {
    for section in sections.iter().filter(|s| s.name == "ranks").skip(1) {
        SectionReader::new(section, faults).add_fault(None, "defined twice".to_owned());
    }
}

/// Reports an account that shares an API key with an account whose name sorts before its own.
fn check_keys(section: &Section<'_>, fleet: &Fleet, faults: &mut Faults) {
    let ("account", name) = section.split() else {
        return;
    };
    let Some(account) = fleet.accounts.get(name) else {
        return;
    };
    let others = fleet.accounts.values().take_while(|a| a.id.as_str() < name);
    for other in others.filter(|o| account.keys.iter().any(|k| o.keys.contains(k))) {
        let detail = format!("an API key is also one of [account {}]", other.id);
        SectionReader::new(section, faults).add_fault(Some("keys"), detail);
    }
}

/// Reports the names that a section refers to and no section defines.
fn check_references(section: &Section<'_>, fleet: &Fleet, faults: &mut Faults) {
    let (kind, _) = section.split();
    if kind != "service" && kind != "server" {
        return;
    }
    let mut check = |key, object: &str, known: bool| {
        if !known {
            let detail = format!("no section [{key} {object}] exists");
            SectionReader::new(section, faults).add_fault(Some(key), detail);
        }
    };
    if let Some(entry) = section.get("pool") {
        check("pool", entry.value, fleet.pools.contains_key(entry.value));
    }
    // If the document defines no zones, all zones belong to one region and any name is valid.
    if let Some(entry) = section.get("zone").filter(|_| fleet.has_regions()) {
        check("zone", entry.value, fleet.zones.contains_key(entry.value));
    }
}
