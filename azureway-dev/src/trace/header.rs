//! The header of a trace, and the fleet that it describes.

use std::fmt;
use std::time::Duration;

use azureway_core::prelude::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, ClientAccount, ConfigVersion,
    Fleet, ModelService, PoolId, RequestKind, RouterConfig, ServerId, ServiceId, TokenRate,
    WeightsVersion, ZoneId,
};

use super::WorkKind;

/// The lines before the first record of a trace: the seed, the zones, the engines and the
/// accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The seed of the random choices of a replay.
    pub seed: u64,
    /// The names of the availability zones; the replayed entry runs in the first.
    pub zones: Vec<String>,
    /// The region of each zone, in the order of `zones`.
    pub regions: Vec<String>,
    /// The number of engines in each zone.
    pub engines: usize,
    /// The names of the client accounts.
    pub accounts: Vec<String>,
    /// The capacity of an engine's prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The one-way latency to another zone, in microseconds.
    pub link_latency: u64,
}

/// The name of the pool that all engines belong to.
const POOL: &str = "engines";
/// The number of requests that an engine runs at once.
const SLOTS: u32 = 16;
/// The prefill rate of an engine in the configuration, in tokens per second.
const PREFILL_RATE: TokenRate = TokenRate::new(8_000);
/// The port of the first engine; the others follow it.
const FIRST_PORT: u16 = 9_000;

impl Header {
    /// Returns the name of engine `number` of a zone, counted from 1.
    pub fn engine_name(zone: &str, number: usize) -> String {
        format!("{zone}-engine-{number}")
    }

    /// Returns the name of the service that requests of a kind call.
    pub fn service(kind: WorkKind) -> ServiceId {
        match kind.request_kind() {
            RequestKind::Repeatable => ServiceId::new("advice"),
            RequestKind::AtMostOnce => ServiceId::new("orders"),
        }
    }

    /// Returns all engines with their zones.
    pub fn servers(&self) -> Vec<(ServerId, ZoneId)> {
        let numbers = 1..=self.engines;
        let engines_in = |zone: &String| {
            let zone = zone.clone();
            numbers.clone().map(move |n| {
                let id = ServerId::new(&Self::engine_name(&zone, n));
                (id, ZoneId::new(&zone))
            })
        };
        self.zones.iter().flat_map(engines_in).collect()
    }

    /// Returns the configuration of the router of the entry, which runs in the first zone.
    pub fn router_config(&self) -> RouterConfig {
        let zone = self.zones.first().map_or("", String::as_str);
        let mut config = RouterConfig::new(ZoneId::new(zone));
        let link = Duration::from_micros(self.link_latency);
        if self.is_one_region() {
            config.zone_latency = link;
        } else {
            config.remote_latency = link;
        }
        config
    }

    /// Returns whether all zones are in one region, so that traffic between them is free.
    pub fn is_one_region(&self) -> bool {
        self.regions.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Returns the fleet of the trace with a configuration version and a weights version.
    pub fn fleet(&self, version: u64, weights: WeightsVersion) -> Fleet {
        let pool = PoolId::new(POOL);
        let base = Fleet::new()
            .with_version(ConfigVersion::new(version))
            .with_pool(BackendServerPool::new(pool.clone()));
        let regions = self.zones.iter().zip(&self.regions);
        let with_zones = regions.fold(base, |fleet, (zone, region)| {
            fleet.with_zone(AvailabilityZone::new(ZoneId::new(zone), region))
        });
        let services = WorkKind::ALL.into_iter().fold(with_zones, |fleet, kind| {
            let service = ModelService::new(Self::service(kind), pool.clone());
            let service = service
                .with_weights(weights)
                .with_request_kind(kind.request_kind());
            fleet.with_service(service)
        });
        let accounts = self.accounts.iter().fold(services, |fleet, name| {
            fleet.with_account(ClientAccount::new(AccountId::new(name)))
        });
        let ports = FIRST_PORT..;
        let servers = self.servers().into_iter().zip(ports);
        servers.fold(accounts, |fleet, ((id, zone), port)| {
            let address = ([127, 0, 0, 1], port).into();
            let server = BackendServer::new(id, pool.clone(), zone, address);
            fleet.with_server(server.with_slots(SLOTS).with_prefill(PREFILL_RATE))
        })
    }
}

impl fmt::Display for Header {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(f, "zones {}", self.zones.join(" "))?;
        writeln!(f, "regions {}", self.regions.join(" "))?;
        writeln!(f, "engines {}", self.engines)?;
        writeln!(f, "accounts {}", self.accounts.join(" "))?;
        writeln!(f, "blocks {}", self.cache_blocks)?;
        writeln!(f, "link {}", self.link_latency)
    }
}
