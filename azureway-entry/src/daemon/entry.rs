//! One entry daemon.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use azureway_config::settings::EntrySettings;
use azureway_core::prelude::*;
use azureway_objects::HttpObjects;
use flume::{Receiver, Sender};
use tiny_http::Server;

use super::parts::{process_mark, talk};
use super::{Rings, spawn};
use crate::admin::{AdminDuty, AdminHandles};
use crate::admit::{Admitter, ChatCalls, RequestIds};
use crate::caller::Listener;
use crate::claim::Claimer;
use crate::decide::{DecideMessage, Decider, Query};
use crate::feed::{FeedReaders, HttpFeed};
use crate::meter::MeterDuty;
use crate::order::{HttpOrders, Orderer};
use crate::peer::PeerMessage;
use crate::relay::RelayLauncher;
use crate::watch::{ConfigWatcher, WatchMessage};

/// One entry daemon, running.
pub struct Entry {
    address: SocketAddr,
    operators: Arc<Server>,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    watch: Sender<WatchMessage>,
    closed: Receiver<()>,
    ready_rx: Receiver<()>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// The threads that make the calls of claims, so that a slow call does not hold up the others.
const CLAIM_THREADS: u64 = 4;
/// The limit of one call for a claim, in seconds; the platform answers in milliseconds.
const CLAIM_TIMEOUT: u64 = 1;

impl Entry {
    /// Starts every duty of a daemon that operators cannot shut down.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &EntrySettings) -> Result<Self, Error> {
        Self::start_with(settings, flume::bounded(1).0)
    }

    /// Starts every duty. `stopper` is told when an operator wants the daemon to shut down,
    /// which is then up to the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_with(settings: &EntrySettings, stopper: Sender<()>) -> Result<Self, Error> {
        const STEP: Step = Step::new("listen to peers");
        let listener = TcpListener::bind(settings.peer);
        let error = |e| Error::new(ErrorKind::System, STEP, e).with_peer(settings.peer);
        Self::start_on(settings, listener.map_err(error)?, stopper)
    }

    /// Starts every duty. Peers reach the entry on `peers`, whose address they know already.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_on(
        settings: &EntrySettings,
        peers: TcpListener,
        stopper: Sender<()>,
    ) -> Result<Self, Error> {
        let mark = process_mark(settings);
        let rings = Rings::new(settings.bounds.ring);
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let ids = RequestIds::new(mark);
        let (handles, limits) = (rings.handles(&ids), settings.bounds.clone());
        let listener = Listener::new(settings.listen, handles, limits, Arc::clone(&stop))?;
        let address = listener.address()?;
        // Before any duty starts: what the duties log comes after it.
        log::info!(step = "start", peer:% = address, instance:% = settings.instance; "listening");
        let operators = admin(settings, &rings, &ids, stopper)?;
        let api = HttpObjects::new(settings.platform);
        let calls = api.calls().clone();
        claim(&api, &rings, mark)?;
        let orderer = orderer(settings, &rings, api.clone(), mark);
        let views = rings.views();
        threads.push(talk(settings, &rings, peers, mark)?);
        let decider = decider(settings, &rings);
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
            mark,
        );
        let meter = MeterDuty::new(rings.measures, views, calls);
        threads.push(spawn("decide", move || decider.run())?);
        threads.push(spawn("accept", move || listener.run())?);
        // These hold nothing that has to be finished, and a watch may wait for some seconds:
        // a shutdown leaves them to end by themselves.
        spawn("meter", move || meter.run())?;
        spawn("admit", move || admitter.run())?;
        spawn("watch", move || watcher.run())?;
        spawn("order", move || orderer.run())?;
        Ok(Self {
            address,
            operators,
            decide: rings.decide,
            peer: rings.peer,
            watch: rings.watch,
            closed: rings.closed,
            ready_rx: rings.ready_rx,
            stop,
            threads,
        })
    }

    /// Returns the address that callers reach.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that operators reach.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.operators.server_addr().to_ip()
    }

    /// Waits until the first configuration is in force.
    pub fn wait_ready(&self) {
        let _ = self.ready_rx.recv();
    }

    /// Waits until a version of the configuration, or a later one, is in force.
    pub fn wait_version(&self, version: ConfigVersion) {
        let (reply, reached) = flume::bounded(1);
        let _ = self
            .decide
            .send(DecideMessage::Query(Query::AwaitVersion(version, reply)));
        let _ = reached.recv();
    }

    /// Shuts down: refuses new requests, finishes every stream, then stops all duties.
    pub fn drain(self) {
        let (drained, done) = flume::bounded(1);
        let _ = self.peer.send(PeerMessage::Leave);
        let _ = self.decide.send(DecideMessage::Drain(Some(drained)));
        let _ = done.recv();
        self.stop.store(true, Ordering::Release);
        // Wakes the accepting duty, which then sees that it has to stop.
        let _ = TcpStream::connect(self.address);
        let _ = self.watch.try_send(WatchMessage::Stop);
        self.operators.unblock();
        // The ring ends when the last connection has written its answer.
        let _ = self.closed.recv();
        let _ = self.peer.send(PeerMessage::Stop);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the operators' duty and returns its server.
fn admin(
    settings: &EntrySettings,
    rings: &Rings,
    ids: &RequestIds,
    stopper: Sender<()>,
) -> Result<Arc<Server>, Error> {
    let handles = AdminHandles {
        ids: ids.clone(),
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        operator_key: settings.operator,
        admit: rings.admit.clone(),
        decide: rings.decide.clone(),
        shutdown: stopper,
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
) -> Decider<PrefixLoad, RelayLauncher, FeedReaders<HttpFeed>> {
    let config = RouterConfig::new(settings.zone.clone()).with_queue_limit(settings.bounds.queue);
    let router = Router::new(config, PrefixLoad::new());
    let launcher = RelayLauncher::new(
        rings.decide.clone(),
        rings.meter.clone(),
        settings.bounds.clone(),
    );
    let readers = FeedReaders::new(HttpFeed, rings.decide.clone());
    Decider::new(router, rings, launcher, readers, settings.instance.clone())
}

/// Returns the ordering duty, which ends with the deciding duty.
fn orderer(
    settings: &EntrySettings,
    rings: &Rings,
    api: HttpObjects,
    mark: u64,
) -> Orderer<HttpObjects, HttpOrders> {
    let lease = Lease::new(LeaseConfig::new(), settings.instance.clone(), mark);
    let config = OrderConfig::new().with_store_rate(settings.bounds.loads);
    let (link, messages) = (HttpOrders::new(), rings.order_messages.clone());
    let orderer = Orderer::new(api.clone(), link, messages, rings.clock, lease, config);
    orderer.with_sweeps(api, mark)
}

/// Starts the claiming threads. They end with the deciding duty, which waits for their news.
fn claim(api: &HttpObjects, rings: &Rings, mark: u64) -> Result<(), Error> {
    for thread in 0..CLAIM_THREADS {
        let (api, decide) = (
            api.clone().with_timeout(CLAIM_TIMEOUT),
            rings.decide.clone(),
        );
        let claimer = Claimer::new(api, &rings.claims, decide, rings.clock, mark ^ thread);
        spawn("claim", move || claimer.run())?;
    }
    Ok(())
}
