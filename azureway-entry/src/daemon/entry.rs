//! Start and shutdown of the daemon that serves the product's own interface.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use azureway_config::settings::EntrySettings;
use azureway_core::prelude::*;
use azureway_objects::HttpObjects;
use flume::{Receiver, Sender};
use tiny_http::Server;

use super::parts::{process_id, spawn_peer};
use super::{Rings, spawn};
use crate::admin::{AdminDuty, AdminHandles};
use crate::admit::{Admitter, ChatCalls, RequestIds};
use crate::caller::Listener;
use crate::claim::Claimer;
use crate::decide::{DecideMessage, Decider, Query};
use crate::feed::{FeedBudget, FeedReaders, HttpFeed};
use crate::meter::MeterDuty;
use crate::order::{HttpOrders, Orderer};
use crate::peer::PeerMessage;
use crate::relay::RelayLauncher;
use crate::runtime;
use crate::watch::{ConfigWatcher, WatchMessage};

/// A running entry daemon that serves the product's own interface.
pub struct Entry {
    address: SocketAddr,
    admin: Arc<Server>,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    watch: Sender<WatchMessage>,
    closed: Receiver<()>,
    ready_rx: Receiver<()>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// The number of threads that call the platform for claims. With several, a slow call does not
/// delay the others.
const CLAIM_THREADS: u64 = 4;
/// The timeout of a platform call for a claim, in seconds. The platform normally answers in
/// milliseconds.
const CLAIM_TIMEOUT: u64 = 1;

impl Entry {
    /// Starts every duty of a daemon that the admin interface cannot shut down.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &EntrySettings) -> Result<Self, Error> {
        Self::start_with(settings, flume::bounded(1).0)
    }

    /// Starts every duty. When an operator requests a shutdown, `shutdown` receives a message;
    /// the receiver then has to call [`Entry::drain`].
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_with(settings: &EntrySettings, shutdown: Sender<()>) -> Result<Self, Error> {
        const STEP: Step = Step::new("listen to peers");
        let listener = TcpListener::bind(settings.peer);
        let error = |e| Error::new(ErrorKind::System, STEP, e).with_peer(settings.peer);
        Self::start_on(settings, listener.map_err(error)?, shutdown)
    }

    /// Starts every duty, with a listener for peers that is already bound.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_on(
        settings: &EntrySettings,
        peers: TcpListener,
        shutdown: Sender<()>,
    ) -> Result<Self, Error> {
        let process_id = process_id(settings);
        let rings = Rings::new(settings.bounds.ring_capacity).with_memory(&settings.bounds);
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let ids = RequestIds::new(process_id);
        let (handles, limits) = (rings.handles(&ids), settings.bounds.clone());
        let listener = Listener::new(settings.listen, handles, limits, Arc::clone(&stop))?;
        let address = listener.address()?;
        // Logged before any duty starts, so that it precedes the log lines of the duties.
        log::info!(step = "start", peer:% = address, instance:% = settings.instance; "listening");
        let admin = spawn_admin(settings, &rings, &ids, shutdown)?;
        let own_limits = OwnLimits::new(settings.bounds.memory);
        let api = HttpObjects::new(settings.platform).with_max_body(own_limits.objects);
        let calls = api.calls().clone();
        spawn_claimers(&api, &rings, process_id)?;
        let orderer = orderer(settings, &rings, api.clone(), process_id);
        let order_runtime = runtime::create()?;
        let monitor = rings.monitor();
        threads.push(spawn_peer(settings, &rings, peers, process_id)?);
        let decider = decider(settings, &rings, process_id);
        let admitter = Admitter::new(
            ChatCalls,
            rings.admit_messages,
            rings.decide.clone(),
            rings.meter,
        );
        let watcher = ConfigWatcher::new(
            api,
            rings.admit,
            rings.decide.clone(),
            rings.peer.clone(),
            rings.watch_messages,
            process_id,
        );
        let meter = MeterDuty::new(rings.metric_events, monitor, calls)
            .with_memory(rings.memory, rings.calls);
        threads.push(spawn("decide", move || decider.run())?);
        threads.push(spawn("accept", move || listener.run())?);
        // A shutdown does not join these threads: they have no work to finish, and a watch call
        // may block for some seconds.
        spawn("meter", move || meter.run())?;
        spawn("admit", move || admitter.run())?;
        spawn("watch", move || watcher.run())?;
        spawn("order", move || orderer.run(&order_runtime))?;
        Ok(Self {
            address,
            admin,
            decide: rings.decide,
            peer: rings.peer,
            watch: rings.watch,
            closed: rings.closed,
            ready_rx: rings.ready_rx,
            stop,
            threads,
        })
    }

    /// Returns the address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.server_addr().to_ip()
    }

    /// Waits until the first configuration is in force.
    pub fn wait_ready(&self) {
        let _ = self.ready_rx.recv();
    }

    /// Waits until `version` of the configuration, or a later one, is in force.
    pub fn wait_version(&self, version: ConfigVersion) {
        let (reply, response) = flume::bounded(1);
        let _ = self
            .decide
            .send(DecideMessage::Query(Query::AwaitVersion(version, reply)));
        let _ = response.recv();
    }

    /// Shuts down: refuses new requests, finishes every stream, then stops the duties.
    pub fn drain(self) {
        let (drained_tx, drained_rx) = flume::bounded(1);
        let _ = self.peer.send(PeerMessage::Leave);
        let _ = self.decide.send(DecideMessage::Drain(drained_tx));
        let _ = drained_rx.recv();
        self.stop.store(true, Ordering::Release);
        // Unblocks the accepting duty, which then reads `stop`.
        let _ = TcpStream::connect(self.address);
        let _ = self.watch.try_send(WatchMessage::Stop);
        self.admin.unblock();
        // Disconnects when the last connection has written its answer and closed.
        let _ = self.closed.recv();
        let _ = self.peer.send(PeerMessage::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the admin duty and returns its server.
fn spawn_admin(
    settings: &EntrySettings,
    rings: &Rings,
    ids: &RequestIds,
    shutdown: Sender<()>,
) -> Result<Arc<Server>, Error> {
    let handles = AdminHandles {
        ids: ids.clone(),
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        operator_key: settings.operator_key,
        admit: rings.admit.clone(),
        decide: rings.decide.clone(),
        shutdown,
        clock: rings.clock,
    };
    let duty = AdminDuty::new(settings.admin, handles)?;
    let server = duty.server();
    spawn("admin", move || duty.run())?;
    Ok(server)
}

/// Returns the deciding duty.
fn decider(
    settings: &EntrySettings,
    rings: &Rings,
    process_id: u64,
) -> Decider<PrefixLoad, RelayLauncher, FeedReaders<HttpFeed>> {
    let config = RouterConfig::new(settings.zone.clone())
        .with_queue_limit(settings.bounds.queue_limit)
        .with_index_memory(OwnLimits::new(settings.bounds.memory).index);
    let router = Router::new(config, PrefixLoad::new());
    let launcher = RelayLauncher::new(
        rings.decide.clone(),
        rings.meter.clone(),
        settings.bounds.clone(),
    );
    let budget = FeedBudget::new(settings.bounds.link, rings.clock);
    let readers = FeedReaders::new(HttpFeed, rings.decide.clone(), budget, process_id)
        .with_memory(rings.calls.clone());
    Decider::new(router, rings, launcher, readers, settings.instance.clone())
}

/// Returns the ordering duty, which ends with the deciding duty.
fn orderer(
    settings: &EntrySettings,
    rings: &Rings,
    api: HttpObjects,
    process_id: u64,
) -> Orderer<HttpObjects, HttpOrders> {
    let lease = Lease::new(LeaseConfig::new(), settings.instance.clone(), process_id);
    let config = OrderConfig::new().with_store_rate(settings.bounds.load_rate);
    let (link, messages) = (HttpOrders::new(), rings.order_messages.clone());
    let orderer = Orderer::new(api.clone(), link, messages, rings.clock, lease, config);
    orderer
        .with_sweeps(api, process_id)
        .with_memory(rings.calls.clone())
}

/// Starts the claiming threads. They end with the deciding duty, which waits for their outcomes.
fn spawn_claimers(api: &HttpObjects, rings: &Rings, process_id: u64) -> Result<(), Error> {
    for thread in 0..CLAIM_THREADS {
        let (api, decide) = (
            api.clone().with_timeout(CLAIM_TIMEOUT),
            rings.decide.clone(),
        );
        let claimer = Claimer::new(api, &rings.claims, decide, rings.clock, process_id ^ thread);
        spawn("claim", move || claimer.run())?;
    }
    Ok(())
}
