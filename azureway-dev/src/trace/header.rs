//! What a trace says before its first record.

use std::fmt;
use std::time::Duration;

use azureway_core::prelude::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, ClientAccount, ConfigVersion,
    Fleet, ModelService, PoolId, RequestKind, RouterConfig, ServerId, ServiceId, TokenRate,
    WeightsVersion, ZoneId,
};

use super::WorkKind;

/// What a trace says before its first record: the seed, the zones and the accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The seed of everything that the replay draws.
    pub seed: u64,
    /// The availability zones; the entry stands in the first.
    pub zones: Vec<String>,
    /// The regions that the zones stand in.
    pub regions: Vec<String>,
    /// The engines of a zone.
    pub engines: usize,
    /// The client accounts.
    pub accounts: Vec<String>,
    /// The blocks that an engine's cache holds.
    pub cache_blocks: usize,
    /// The microseconds one way over a link to another zone.
    pub link_latency: u64,
}

/// The pool of the engines.
const POOL: &str = "engines";
/// The requests that an engine runs at once.
const SLOTS: u32 = 16;
/// The prefill rate of an engine that the configuration names, in tokens a second.
const PREFILL_RATE: TokenRate = TokenRate::new(8_000);
/// The port of the first engine.
const FIRST_PORT: u16 = 9_000;

impl Header {
    /// Returns the name of an engine of a zone.
    pub fn engine_name(zone: &str, number: usize) -> String {
        format!("{zone}-engine-{number}")
    }

    /// Returns the name of the service that work of a kind asks for.
    pub fn service(kind: WorkKind) -> ServiceId {
        match kind.request_kind() {
            RequestKind::Repeatable => ServiceId::new("advice"),
            RequestKind::AtMostOnce => ServiceId::new("orders"),
        }
    }

    /// Returns the engines with the zones that they stand in.
    pub fn servers(&self) -> Vec<(ServerId, ZoneId)> {
        let numbers = 1..=self.engines;
        let of_zone = |zone: &String| {
            let zone = zone.clone();
            numbers.clone().map(move |n| {
                let id = ServerId::new(&Self::engine_name(&zone, n));
                (id, ZoneId::new(&zone))
            })
        };
        self.zones.iter().flat_map(of_zone).collect()
    }

    /// Returns the bounds of the entry, which stands in the first zone.
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

    /// Tells whether all zones stand in one region, so that traffic between them is not paid.
    pub fn is_one_region(&self) -> bool {
        self.regions.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Returns the configuration that an entry of this fleet has in force.
    pub fn fleet(&self, version: u64, weights: WeightsVersion) -> Fleet {
        let pool = PoolId::new(POOL);
        let base = Fleet::new()
            .with_version(ConfigVersion::new(version))
            .with_pool(BackendServerPool::new(pool.clone()));
        let places = self.zones.iter().zip(&self.regions);
        let zoned = places.fold(base, |fleet, (zone, region)| {
            fleet.with_zone(AvailabilityZone::new(ZoneId::new(zone), region))
        });
        let services = WorkKind::ALL.into_iter().fold(zoned, |fleet, kind| {
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
