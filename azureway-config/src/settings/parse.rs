//! Parsing of the settings of an entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use azureway_core::prelude::{AvailabilityZone, Instance, InstanceId, KeyHash, ZoneId};

use super::{Bounds, EntrySettings, SiteSettings};
use crate::ini::{self, Faults, Section, SectionReader};
use crate::util::nearest;

/// The format of an address, as stated in faults.
const ADDRESS_FORMAT: &str = "an IP address and a port, such as 10.0.0.7:8000";
/// The format of the operators' key digest, as stated in faults.
const DIGEST_FORMAT: &str = "the SHA-256 digest of the operators' key, 64 hexadecimal digits";
/// The sections that may appear, as stated in faults.
const EXPECTED_SECTIONS: &str = "expected [entry], [bounds], [peer NAME], [site] or [zone NAME]";
/// The known kinds of sections.
const KINDS: [&str; 5] = ["entry", "bounds", "peer", "site", "zone"];
/// The address to listen on for operators if the settings state none.
const DEFAULT_ADMIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8082);

/// Parses the settings of an entry daemon.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse(text: &str) -> Result<EntrySettings, Faults> {
    let sections = ini::parse(text)?;
    let mut faults = Faults::new();
    let (mut entry, mut bounds, mut peers) = (None, Bounds::new(), Vec::new());
    let (mut site, mut zones) = (None, Vec::new());
    for (index, section) in sections.iter().enumerate() {
        let mut reader = SectionReader::new(section, &mut faults);
        if sections[..index].iter().any(|s| s.name == section.name) {
            reader.add_fault(None, "defined twice".to_owned());
        }
        match section.split() {
            ("entry", "") => entry = read_entry(&mut reader),
            ("bounds", "") => bounds = read_bounds(&mut reader),
            ("site", "") => site = read_site(&mut reader),
            ("zone", name) if !name.is_empty() => zones.extend(read_zone(name, &mut reader)),
            ("peer", name) if !name.is_empty() => peers.extend(read_peer(name, &mut reader)),
            (kind, _) => {
                let hint = nearest(kind, &KINDS).map(|k| format!("; did you mean `{k}`?"));
                let hint = hint.unwrap_or_default();
                reader.add_fault(None, format!("unknown section{hint}; {EXPECTED_SECTIONS}"));
                continue;
            }
        }
        reader.finish();
    }
    if !sections.iter().any(|s| s.name == "entry") {
        let absent = Section {
            line: 1,
            name: "entry",
            entries: Vec::new(),
        };
        SectionReader::new(&absent, &mut faults).add_fault(None, "missing section".to_owned());
    }
    let settings = faults.into_result(entry)?;
    // A missing or invalid `[entry]` section has added a fault, which was returned above.
    let mut settings = settings.expect("the entry section was read");
    settings.bounds = bounds;
    settings.peers = peers;
    settings.site = site.map(|site| SiteSettings { zones, ..site });
    Ok(settings)
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn read_entry(reader: &mut SectionReader<'_, '_>) -> Option<EntrySettings> {
    let instance = reader.required("instance", "the name of the instance");
    let zone = reader.required("zone", "the name of an availability zone");
    let listen = reader.required_value("listen", ADDRESS_FORMAT, parse_address);
    let peer = reader.required_value("peer", ADDRESS_FORMAT, parse_address);
    let platform = reader.required_value("platform", ADDRESS_FORMAT, parse_address);
    let admin = reader.value(
        "admin",
        DEFAULT_ADMIN_ADDRESS,
        ADDRESS_FORMAT,
        parse_address,
    );
    let operator_key = reader.secret("operator", None, DIGEST_FORMAT, |t| {
        KeyHash::parse(t).map(Some)
    });
    if operator_key.is_none() && !admin.ip().is_loopback() {
        let detail = "an address beyond loopback needs the `operator` key".to_owned();
        reader.add_fault(Some("admin"), detail);
    }
    let (instance, zone) = (InstanceId::new(instance?), ZoneId::new(zone?));
    let mut settings = EntrySettings::new(instance, zone, platform?).with_listen(listen?);
    settings.peer = peer?;
    settings.admin = admin;
    settings.operator_key = operator_key;
    Some(settings)
}

fn read_peer(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<Instance> {
    let zone = reader.required("zone", "the name of an availability zone");
    let address = reader.required_value("address", ADDRESS_FORMAT, parse_address);
    Some(Instance::new(
        InstanceId::new(name),
        ZoneId::new(zone?),
        address?,
    ))
}

fn read_zone(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<AvailabilityZone> {
    let region = reader.required("region", "the name of a region")?;
    Some(AvailabilityZone::new(ZoneId::new(name), region))
}

fn read_site(reader: &mut SectionReader<'_, '_>) -> Option<SiteSettings> {
    let ready = reader.required_value("ready", ADDRESS_FORMAT, parse_address);
    let retry_percent = reader.required_value("retries", "a share from 0 to 1", parse_percent);
    // The platform may state each of these figures as a fraction.
    let retry_slack = reader.number("slack", 0.0, 0.0, 1_000_000.0, "retries");
    let mut millis = |key, default: f64, low: f64| {
        let millis = reader.number(key, default, low, 3_600_000.0, "milliseconds");
        Duration::from_secs_f64(millis / 1_000.0)
    };
    let (lease_term, rollout_timeout) = (
        millis("term", 3_000.0, 1.0),
        millis("rollout", 8_000.0, 1.0),
    );
    let startup_grace = millis("settle", 0.0, 0.0);
    let change_limit = millis("apply", 1_000.0, 1.0).min(millis("drain", 1_000.0, 1.0));
    let mut seconds = |key, default: f64| {
        Duration::from_secs_f64(reader.number(key, default, 1.0, 3_600.0, "seconds"))
    };
    let (retry_window, shutdown_grace) = (seconds("window", 10.0), seconds("grace", 8.0));
    Some(SiteSettings {
        ready: ready?,
        zones: Vec::new(),
        retry_percent: retry_percent?,
        // Rounds down. The value is within the range of `u32`.
        retry_slack: retry_slack as u32,
        retry_window,
        lease_term,
        rollout_timeout,
        startup_grace,
        change_limit,
        shutdown_grace,
    })
}

/// Parses a share from 0 to 1 and returns it in percent, rounded down.
fn parse_percent(text: &str) -> Option<u32> {
    let share: f64 = text.parse().ok()?;
    // Rounds down. The value is at most 100, so it fits into a `u32`.
    (0.0..=1.0)
        .contains(&share)
        .then_some((share * 100.0) as u32)
}

fn read_bounds(reader: &mut SectionReader<'_, '_>) -> Bounds {
    let base = Bounds::new();
    let connections = reader.number("connections", base.connections, 1, 100_000, "connections");
    let head_bytes = reader.number("head", base.head_bytes, 1_024, 1_048_576, "bytes");
    let body_bytes = reader.number("body", base.body_bytes, 1_024, 67_108_864, "bytes");
    let idle_connections = reader.number("idle", base.idle_connections, 0, 10_000, "connections");
    let queue_limit = reader.number("queue", base.queue_limit, 1, 1_000_000, "requests");
    let load_rate = reader.number("loads", base.load_rate, 1, 1_000, "loads a second");
    let link = reader.number("link", base.link, 1.0, 1_000_000.0, "megabits a second");
    let memory = reader.number("memory", base.memory, 16, 1_048_576, "megabytes");
    let descriptors = reader.number("files", base.descriptors, 64, 1_048_576, "descriptors");
    let ring_capacity = reader.number("ring", base.ring_capacity, 1, 1_000_000, "messages");
    let mut millis = |key, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(reader.number(key, default, 1, 3_600_000, "milliseconds"))
    };
    let request_timeout = millis("arrival", base.request_timeout);
    let event_timeout = millis("gap", base.event_timeout);
    let connect_timeout = millis("connect", base.connect_timeout);
    Bounds {
        connections,
        head_bytes,
        body_bytes,
        request_timeout,
        event_timeout,
        connect_timeout,
        idle_connections,
        queue_limit,
        ring_capacity,
        load_rate,
        link,
        memory,
        descriptors,
    }
}
