//! The size of a fleet.

use std::fmt::Write as _;

use azureway_core::prelude::*;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The replicas.
    pub replicas: usize,
    /// The availability zones.
    pub zones: usize,
    /// The client accounts.
    pub accounts: usize,
    /// The models, each with a pool of its own.
    pub models: usize,
}

impl FleetSize {
    /// The size that is designed for.
    pub const DESIGN: Self = Self {
        replicas: 1_600,
        zones: 7,
        accounts: 350,
        models: 23,
    };

    /// Creates the size of one pool in one zone with eight accounts.
    pub const fn new(replicas: usize) -> Self {
        Self {
            replicas,
            zones: 1,
            accounts: 8,
            models: 1,
        }
    }

    /// Sets the zones.
    #[must_use]
    pub const fn with_zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the client accounts.
    #[must_use]
    pub const fn with_accounts(mut self, accounts: usize) -> Self {
        self.accounts = accounts;
        self
    }

    /// Returns the fleet, each replica with `slots` slots.
    pub fn fleet(&self, version: u64, slots: u32) -> Fleet {
        let mut fleet = Fleet::new().with_version(ConfigVersion::new(version));
        for number in 0..self.models {
            let pool = pool_id(number);
            fleet = fleet
                .with_pool(BackendServerPool::new(pool.clone()))
                .with_service(ModelService::new(service_id(number), pool));
        }
        for number in 0..self.accounts {
            fleet = fleet.with_account(ClientAccount::new(account_id(number)));
        }
        for number in 0..self.replicas {
            fleet = fleet.with_server(self.backend_server(number).with_slots(slots));
        }
        fleet
    }

    /// Returns the document that defines the fleet.
    pub fn document(&self) -> String {
        let mut text = String::new();
        for number in 0..self.models {
            let (pool, service) = (pool_id(number), service_id(number));
            // Writing to a string does not fail.
            let _ = write!(text, "[pool {pool}]\n[service {service}]\npool = {pool}\n");
        }
        for number in 0..self.accounts {
            let name = account_id(number);
            let key = KeyHash::of(name.as_str());
            let _ = write!(text, "[account {name}]\nkeys = {key}\n");
        }
        for number in 0..self.replicas {
            let server = self.backend_server(number);
            let (id, pool, zone, address) = (server.id, server.pool, server.zone, server.address);
            let _ = writeln!(text, "[server {id}]\npool = {pool}");
            let _ = writeln!(text, "zone = {zone}\naddress = {address}");
        }
        text
    }

    fn backend_server(&self, number: usize) -> BackendServer {
        let zone = ZoneId::new(&format!("zone-{}", number % self.zones));
        let id = server_id(number);
        let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
        let address = ([10, 0, high, low], 8_000).into();
        // Zones and pools are drawn apart, so that each pool has replicas in each zone.
        let pool = pool_id(number / self.zones % self.models);
        BackendServer::new(id, pool, zone, address)
    }
}

/// Returns the name of a server.
pub(super) fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("engine-{number:04}"))
}

/// Returns the name of an account.
pub(super) fn account_id(number: usize) -> AccountId {
    AccountId::new(&format!("account-{number:03}"))
}

/// Returns the name of a service.
pub(super) fn service_id(number: usize) -> ServiceId {
    ServiceId::new(&format!("model-{number:02}"))
}

fn pool_id(number: usize) -> PoolId {
    PoolId::new(&format!("pool-{number:02}"))
}
