//! From text to settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use azureway_core::prelude::{AvailabilityZone, Instance, InstanceId, KeyHash, ZoneId};

use super::{Bounds, EntrySettings, SiteSettings};
use crate::ini::{self, Faults, Section, SectionReader};
use crate::util::nearest;

/// What an address looks like, for a fault's text.
const ADDRESS: &str = "an IP address and a port, such as 10.0.0.7:8000";
/// What a digest looks like, for a fault's text.
const DIGEST: &str = "the SHA-256 digest of the operators' key, 64 hexadecimal digits";
/// What the sections are, for a fault's text.
const SECTIONS: &str = "expected [entry], [bounds], [peer NAME], [site] or [zone NAME]";
/// The kinds of sections.
const KINDS: [&str; 5] = ["entry", "bounds", "peer", "site", "zone"];
/// Where operators reach the entry if the settings name no address.
const DEFAULT_ADMIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8082);

/// Parses the settings of an entry daemon.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse(text: &str) -> Result<EntrySettings, Faults> {
    let sections = ini::parse(text)?;
    let mut faults = Faults::new();
    let (mut base, mut bounds, mut peers) = (None, Bounds::new(), Vec::new());
    let (mut served, mut zones) = (None, Vec::new());
    for (place, section) in sections.iter().enumerate() {
        let mut reader = SectionReader::new(section, &mut faults);
        if sections[..place].iter().any(|s| s.name == section.name) {
            reader.reject(None, "defined twice".to_owned());
        }
        match section.split() {
            ("entry", "") => base = entry(&mut reader),
            ("bounds", "") => bounds = read_bounds(&mut reader),
            ("site", "") => served = site(&mut reader),
            ("zone", name) if !name.is_empty() => zones.extend(zone(name, &mut reader)),
            ("peer", name) if !name.is_empty() => peers.extend(peer(name, &mut reader)),
            (kind, _) => {
                let hint = nearest(kind, &KINDS).map(|k| format!("; did you mean `{k}`?"));
                let hint = hint.unwrap_or_default();
                reader.reject(None, format!("unknown section{hint}; {SECTIONS}"));
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
        SectionReader::new(&absent, &mut faults).reject(None, "missing section".to_owned());
    }
    let settings = faults.into_result(base)?;
    // A missing or faulty entry section was noted as a fault, so there is one here.
    let mut settings = settings.expect("the entry section was read");
    settings.bounds = bounds;
    settings.peers = peers;
    settings.site = served.map(|site| SiteSettings { zones, ..site });
    Ok(settings)
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn entry(reader: &mut SectionReader<'_, '_>) -> Option<EntrySettings> {
    let instance = reader.required("instance", "the name of the instance");
    let zone = reader.required("zone", "the name of an availability zone");
    let listen = reader.required_value("listen", ADDRESS, address);
    let peer = reader.required_value("peer", ADDRESS, address);
    let platform = reader.required_value("platform", ADDRESS, address);
    let admin = reader.value("admin", DEFAULT_ADMIN, ADDRESS, address);
    let operator_key = reader.secret("operator", None, DIGEST, |t| KeyHash::parse(t).map(Some));
    if operator_key.is_none() && !admin.ip().is_loopback() {
        let detail = "an address beyond loopback needs the `operator` key".to_owned();
        reader.reject(Some("admin"), detail);
    }
    let (instance, zone) = (InstanceId::new(instance?), ZoneId::new(zone?));
    let mut settings = EntrySettings::new(instance, zone, platform?).with_listen(listen?);
    settings.peer = peer?;
    settings.admin = admin;
    settings.operator_key = operator_key;
    Some(settings)
}

fn peer(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<Instance> {
    let zone = reader.required("zone", "the name of an availability zone");
    let address = reader.required_value("address", ADDRESS, address);
    Some(Instance::new(
        InstanceId::new(name),
        ZoneId::new(zone?),
        address?,
    ))
}

fn zone(name: &str, reader: &mut SectionReader<'_, '_>) -> Option<AvailabilityZone> {
    let region = reader.required("region", "the name of a region")?;
    Some(AvailabilityZone::new(ZoneId::new(name), region))
}

fn site(reader: &mut SectionReader<'_, '_>) -> Option<SiteSettings> {
    let ready = reader.required_value("ready", ADDRESS, address);
    let retry_percent = reader.required_value("retries", "a share from 0 to 1", share);
    // The platform may state each of these as a fraction.
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
    let mut seconds = |key, default: f64| {
        Duration::from_secs_f64(reader.number(key, default, 1.0, 3_600.0, "seconds"))
    };
    let (retry_window, shutdown_grace) = (seconds("window", 10.0), seconds("grace", 8.0));
    Some(SiteSettings {
        ready: ready?,
        zones: Vec::new(),
        retry_percent: retry_percent?,
        // Rounded down, and within its range.
        retry_slack: retry_slack as u32,
        retry_window,
        lease_term,
        rollout_timeout,
        startup_grace,
        shutdown_grace,
    })
}

/// Reads a share as whole percent, rounded down.
fn share(text: &str) -> Option<u32> {
    let share: f64 = text.parse().ok()?;
    // The cast cannot leave its range.
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
    }
}
