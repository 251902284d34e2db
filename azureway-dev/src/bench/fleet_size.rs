//! Generates fleets and documents of a given size for the benches and the slopes.

use std::fmt::Write as _;

use azureway_core::prelude::*;

/// The dimensions of a generated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The number of backend servers over all pools.
    pub servers: usize,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of client accounts.
    pub accounts: usize,
    /// The number of model services, each with its own pool.
    pub models: usize,
}

impl FleetSize {
    /// The fleet size that the router is designed for.
    pub const DESIGN: Self = Self {
        servers: 1_600,
        zones: 7,
        accounts: 350,
        models: 23,
    };

    /// Creates the size of a fleet with one pool in one zone and eight client accounts.
    pub const fn new(servers: usize) -> Self {
        Self {
            servers,
            zones: 1,
            accounts: 8,
            models: 1,
        }
    }

    /// Sets the number of availability zones.
    #[must_use]
    pub const fn with_zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the number of client accounts.
    #[must_use]
    pub const fn with_accounts(mut self, accounts: usize) -> Self {
        self.accounts = accounts;
        self
    }

    /// Creates the fleet at a configuration version, each server with `slots` slots.
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
        for number in 0..self.servers {
            fleet = fleet.with_server(self.backend_server(number).with_slots(slots));
        }
        fleet
    }

    /// Returns the configuration document that defines the fleet.
    pub fn document(&self) -> String {
        let mut text = String::new();
        for number in 0..self.models {
            let (pool, service) = (pool_id(number), service_id(number));
            // Writing to a `String` cannot fail.
            let _ = write!(text, "[pool {pool}]\n[service {service}]\npool = {pool}\n");
        }
        for number in 0..self.accounts {
            let name = account_id(number);
            let key = KeyHash::of(name.as_str());
            let _ = write!(text, "[account {name}]\nkeys = {key}\n");
        }
        for number in 0..self.servers {
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
        // Dividing by the number of zones first spreads each pool over all zones.
        let pool = pool_id(number / self.zones % self.models);
        BackendServer::new(id, pool, zone, address)
    }
}

/// Returns the ID of a backend server.
pub(super) fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("engine-{number:04}"))
}

/// Returns the ID of a client account.
pub(super) fn account_id(number: usize) -> AccountId {
    AccountId::new(&format!("account-{number:03}"))
}

/// Returns the ID of a model service.
pub(super) fn service_id(number: usize) -> ServiceId {
    ServiceId::new(&format!("model-{number:02}"))
}

fn pool_id(number: usize) -> PoolId {
    PoolId::new(&format!("pool-{number:02}"))
}
