//! Start and shutdown of the daemon that serves a site.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azureway_config::settings::{EntrySettings, SiteSettings};
use azureway_core::prelude::*;
use azureway_objects::{HttpObjects, ObjectCodec};
use flume::Sender;

use super::parts::{process_id, spawn_peer, spawn_quarantine_writer, spawn_registrar};
use super::watchers::spawn_watchers;
use super::{ReadyDuty, Rings, ShutdownTimes, Site, spawn};
use crate::admit::{Admitter, RequestIds};
use crate::decide::{DecideMessage, Decider};
use crate::exchange::ExchangeLauncher;
use crate::feed::{FeedBudget, FeedReaders, FeedSource};
use crate::meter::MeterDuty;
use crate::order::{OrderLink, Orderer};
use crate::peer::PeerMessage;
use crate::routed::{DisconnectWatcher, RoutedCallReader, RoutedListener, ServingState};
use crate::runtime;
use crate::site::SITE_CALL_TIMEOUT;
use crate::zone::ZoneLink;

/// A running entry daemon that serves a [`Site`].
pub struct Gateway {
    address: SocketAddr,
    ready: Option<SocketAddr>,
    serving: ServingState,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    times: ShutdownTimes,
}

/// The time for reading and refusing a request that arrives at the end of the accepting time.
const REFUSE_TIME: Duration = Duration::from_millis(50);
/// The divisor of the lease term that gives the safety margin before the lease expires. Within the
/// margin the holder sends no more orders. An order call takes less time than the margin.
const MARGIN_DIVISOR: u32 = 3;
/// The number of renewals of the lease after which candidates read it again.
const LEASE_READS: u32 = 2;
/// The time that a request waits for a server of its own region while another region has a free
/// one. This is much shorter than every latency target, since a late answer costs more than the
/// traffic to another region.
const REMOTE_DELAY: Duration = Duration::from_millis(25);
/// The number of prompt tokens whose traffic to another region costs as much as a second of delay.
/// The traffic costs little compared with recomputing a prompt.
const TRAFFIC_RATE: TokenRate = TokenRate::new(100_000);
/// The time for which a load of weights occupies its slot if its end is not reported. When many
/// servers load at once, each load takes several times as long as a single one.
const SLOT_TIMEOUT: Duration = Duration::from_millis(3_000);

impl Gateway {
    /// Starts every duty of an entry instance that serves `site`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start<S: Site, F, L, N: FeedSource>(
        settings: &EntrySettings,
        site_settings: &SiteSettings,
        site: S,
        codec: F,
        link: L,
        feed: N,
    ) -> Result<Self, Error>
    where
        F: ObjectCodec + Send + 'static,
        L: OrderLink + Send + 'static,
    {
        const STEP: Step = Step::new("listen to peers");
        let peers = TcpListener::bind(settings.peer);
        let error = |e| Error::new(ErrorKind::System, STEP, e).with_peer(settings.peer);
        let peers = peers.map_err(error)?;
        let process_id = process_id(settings);
        let rings = Rings::new(settings.bounds.ring_capacity).with_memory(&settings.bounds);
        let ids = RequestIds::new(process_id);
        let (serving, ready) = (ServingState::new(), Arc::clone(&rings.ready));
        let watcher = DisconnectWatcher::new(rings.decide.clone())?;
        let listener = RoutedListener::new(
            settings.listen,
            site.clone(),
            rings.handles(&ids),
            settings.bounds.clone(),
            serving.clone(),
            watcher.watch(),
        )?;
        let address = listener.address()?;
        log::info!(step = "start", peer:% = address, instance:% = settings.instance, zone:% = settings.zone; "listening");
        let balancer = ReadyDuty::new(
            site_settings.ready,
            ready,
            serving.clone(),
            rings.meter.clone(),
        )?;
        let ready_address = balancer.address();
        let api = HttpObjects::with_codec(settings.platform, codec);
        let own_limits = OwnLimits::new(settings.bounds.memory);
        let api = api
            .with_timeout(SITE_CALL_TIMEOUT.as_secs())
            .with_max_body(own_limits.objects);
        spawn_peer(settings, &rings, peers, process_id)?;
        let budget = FeedBudget::new(settings.bounds.link, rings.clock);
        let readers = FeedReaders::new(feed, rings.decide.clone(), budget, process_id)
            .with_memory(rings.calls.clone());
        let quarantines = spawn_quarantine_writer(&api, process_id)?;
        let decider = decider(
            settings,
            site_settings,
            &rings,
            site.clone(),
            readers,
            process_id,
        )
        .with_quarantine_store(quarantines);
        spawn("decide", move || decider.run())?;
        spawn_watchers(site_settings, &rings, &api, &site, &serving, process_id)?;
        spawn_orderer(settings, site_settings, &rings, &api, link, process_id)?;
        spawn_registrar(settings, &rings, &api)?;
        let calls = RoutedCallReader::new(site);
        let meter = MeterDuty::new(
            rings.metric_events.clone(),
            rings.monitor(),
            api.calls().clone(),
        )
        .with_memory(rings.memory.clone(), rings.calls.clone());
        let admitter = Admitter::new(
            calls,
            rings.admit_messages,
            rings.decide.clone(),
            rings.meter,
        );
        spawn("admit", move || admitter.run())?;
        spawn("meter", move || meter.run())?;
        spawn("watch callers", move || watcher.run())?;
        spawn("ready", move || balancer.run())?;
        spawn("accept", move || listener.run())?;
        Ok(Self {
            address,
            ready: ready_address,
            serving,
            decide: rings.decide,
            peer: rings.peer,
            times: ShutdownTimes::new(site_settings.shutdown_grace),
        })
    }

    /// Returns the address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves readiness and metrics.
    pub const fn ready_address(&self) -> Option<SocketAddr> {
        self.ready
    }

    /// Shuts down: reports that it is not ready, serves the requests that the balancer still
    /// sends, then finishes the requests in flight within the grace period. What cannot end within
    /// it is refused.
    pub fn drain(self) {
        let start = Instant::now();
        let left = |time: Duration| time.saturating_sub(start.elapsed());
        self.serving.start_draining();
        // Sending cannot fail: the peer and deciding duties run until the process ends.
        let _ = self.peer.send(PeerMessage::Leave);
        std::thread::park_timeout(left(self.times.accept));
        // From here on, new requests are refused as not run: a stream that starts now may outlast
        // the grace period.
        let close = DecideMessage::Close(left(self.times.finish));
        let _ = self.decide.send(close);
        std::thread::park_timeout(REFUSE_TIME);
        let unfinished = self.serving.in_flight.wait(left(self.times.exit));
        if unfinished > 0 {
            log::warn!(step = "stop", left = unfinished; "the grace period ends with requests in flight");
        }
    }
}

/// Returns the deciding duty.
fn decider<S: Site, N: FeedSource>(
    settings: &EntrySettings,
    site_settings: &SiteSettings,
    rings: &Rings,
    site: S,
    readers: FeedReaders<N>,
    process_id: u64,
) -> Decider<PrefixLoad, ExchangeLauncher<S>, FeedReaders<N>> {
    let slack = RetrySlack {
        count: site_settings.retry_slack,
        window: site_settings.retry_window,
    };
    let config = RouterConfig::new(settings.zone.clone())
        .with_queue_limit(settings.bounds.queue_limit)
        .with_index_memory(OwnLimits::new(settings.bounds.memory).index)
        .with_retry_budget(site_settings.retry_percent, slack)
        .with_remote_delay(REMOTE_DELAY)
        .with_traffic_rate(TRAFFIC_RATE)
        .with_seed(process_id)
        .with_shared_servers();
    let router = Router::new(config, PrefixLoad::new());
    let (decide, bounds) = (rings.decide.clone(), settings.bounds.clone());
    let launcher = ExchangeLauncher::new(site, decide, bounds, rings.clock);
    Decider::new(router, rings, launcher, readers, settings.instance.clone())
}

/// Starts the ordering duty.
fn spawn_orderer<F: ObjectCodec + Send + 'static, L: OrderLink + Send + 'static>(
    settings: &EntrySettings,
    site_settings: &SiteSettings,
    rings: &Rings,
    api: &HttpObjects<F>,
    link: L,
    process_id: u64,
) -> Result<(), Error> {
    let margin = site_settings.lease_term / MARGIN_DIVISOR;
    let observed = match ZoneLink::relays(site_settings.change_limit) {
        true => LEASE_READS,
        false => 1,
    };
    let config = LeaseConfig::new()
        .with_term(site_settings.lease_term, margin)
        .with_cooldown(site_settings.lease_term)
        .with_observed(observed)
        .with_single_process();
    let lease = Lease::new(config, settings.instance.clone(), process_id);
    let config = OrderConfig::new()
        .with_store_rate(settings.bounds.load_rate)
        .with_slot_timeout(SLOT_TIMEOUT)
        .with_mode(LoadMode::Swap);
    let messages = rings.order_messages.clone();
    let orderer = Orderer::new(api.clone(), link, messages, rings.clock, lease, config);
    let orderer = orderer
        .with_peers(rings.peer.clone())
        .with_memory(rings.calls.clone());
    let runtime = runtime::create()?;
    spawn("order", move || orderer.run(&runtime))?;
    Ok(())
}
