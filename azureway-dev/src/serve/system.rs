//! Starts and stops a whole system on loopback, for `serve` and the tests over sockets.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;

use anyhow::{Context, Result};
use azureway_config::settings::{Bounds, EntrySettings};
use azureway_core::prelude::{ConfigVersion, Instance, InstanceId, ZoneId};

use super::{Layout, RunningEntry};
use crate::engine::{Engine, EngineConfig};
use crate::http::HttpServer;
use crate::plain::PlainService;
use crate::platform::Platform;

/// A whole system on loopback: a simulated platform, engines and plain services, and real entry
/// daemons.
pub struct System {
    /// The simulated platform.
    pub platform: Arc<Platform>,
    /// The engines, ordered by zone and number.
    pub engines: Vec<Arc<Engine>>,
    /// The plain services, one per zone.
    pub plain_services: Vec<Arc<PlainService>>,
    /// The configuration document that the system was started with.
    pub document: String,
    platform_server: HttpServer,
    servers: Vec<HttpServer>,
    entries: Vec<RunningEntry>,
    settings: Vec<EntrySettings>,
}

impl System {
    /// Starts the simulated services, writes the document and starts the entry daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a thread cannot be started.
    pub fn start(layout: &Layout, engine: &EngineConfig, bounds: &Bounds) -> Result<Self> {
        let platform = Arc::new(Platform::new());
        let platform_server = HttpServer::start(Arc::clone(&platform))?;
        let document = layout.document_head();
        let mut system = Self {
            platform,
            engines: Vec::new(),
            plain_services: Vec::new(),
            document,
            platform_server,
            servers: Vec::new(),
            entries: Vec::new(),
            settings: Vec::new(),
        };
        for zone in &layout.zones {
            system.add_zone(zone, layout, engine)?;
        }
        system.platform.seed("config", "document", &system.document);
        system.add_entries(layout, bounds)?;
        Ok(system)
    }

    /// Returns the addresses of the entry daemons for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(RunningEntry::address).collect()
    }

    /// Returns the addresses of the entry daemons' admin interfaces.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        entries.filter_map(RunningEntry::admin_address).collect()
    }

    /// Returns the addresses of the engines and plain services, in the order of their start.
    pub fn server_addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(HttpServer::address).collect()
    }

    /// Waits until every entry daemon has a configuration in effect.
    pub fn wait_ready(&self) {
        self.entries.iter().for_each(RunningEntry::wait_ready);
    }

    /// Waits until a version of the configuration is in effect at every entry daemon.
    pub fn wait_version(&self, version: ConfigVersion) {
        self.entries.iter().for_each(|e| e.wait_version(version));
    }

    /// Returns the address of the platform.
    pub const fn platform_address(&self) -> SocketAddr {
        self.platform_server.address()
    }

    /// Drains the entry daemon with number `index` and starts it again from its settings alone.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound again or a thread cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if there is no such entry daemon.
    pub fn restart(&mut self, index: usize) -> Result<()> {
        self.entries[index].drain();
        let settings = &self.settings[index];
        let listener = TcpListener::bind(settings.peer).context("bind the port for peers again")?;
        self.entries[index] = RunningEntry::start_on(settings, listener)?;
        Ok(())
    }

    /// Drains every entry daemon, then stops the simulated services.
    pub fn drain(self) {
        self.entries.iter().for_each(RunningEntry::drain);
    }

    fn add_zone(&mut self, zone: &str, layout: &Layout, config: &EngineConfig) -> Result<()> {
        for number in 1..=layout.engines {
            let engine = Arc::new(Engine::new(config.clone()));
            let name = format!("{zone}-engine-{number}");
            self.add_server(
                &name,
                "engines",
                zone,
                HttpServer::start(Arc::clone(&engine))?,
            );
            if let Some(slots) = layout.slots {
                // Writing to a string never fails.
                let _ = writeln!(self.document, "slots = {slots}");
            }
            self.engines.push(engine);
        }
        let plain = match (layout.deduplicates, self.plain_services.first()) {
            (true, Some(first)) => first.another_server(),
            (true, None) => PlainService::deduplicating(),
            (false, _) => PlainService::new(),
        };
        let plain = Arc::new(plain);
        let name = format!("{zone}-till");
        self.add_server(&name, "tills", zone, HttpServer::start(Arc::clone(&plain))?);
        if layout.deduplicates {
            self.document.push_str("keyed = yes\n");
        }
        self.plain_services.push(plain);
        Ok(())
    }

    fn add_server(&mut self, name: &str, pool: &str, zone: &str, server: HttpServer) {
        let address = server.address();
        // Writing to a string never fails.
        let _ = write!(
            self.document,
            "[server {name}]\npool = {pool}\nzone = {zone}\naddress = {address}\n"
        );
        self.servers.push(server);
    }

    /// Starts the entry daemons as peers of one another. All their ports for peers are bound before
    /// the first one starts, so that each knows the others' addresses.
    fn add_entries(&mut self, layout: &Layout, bounds: &Bounds) -> Result<()> {
        let mut listeners = Vec::new();
        let mut peers = Vec::new();
        for zone in &layout.zones {
            for number in 1..=layout.entries {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
                let id = InstanceId::new(&format!("{zone}-entry-{number}"));
                peers.push(Instance::new(id, ZoneId::new(zone), listener.local_addr()?));
                listeners.push(listener);
            }
        }
        for (instance, listener) in peers.iter().zip(listeners) {
            let platform = self.platform_address();
            let base = EntrySettings::new(instance.id.clone(), instance.zone.clone(), platform);
            let mut settings = base.with_bounds(bounds.clone());
            settings.peer = instance.address;
            settings.peers = peers
                .iter()
                .filter(|p| p.id != instance.id)
                .cloned()
                .collect();
            self.entries
                .push(RunningEntry::start_on(&settings, listener)?);
            self.settings.push(settings);
        }
        Ok(())
    }
}
