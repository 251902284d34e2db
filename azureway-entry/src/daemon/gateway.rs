//! One entry daemon that serves a site.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azureway_config::settings::{EntrySettings, SiteSettings};
use azureway_core::prelude::*;
use azureway_objects::{HttpObjects, ObjectForm};
use azureway_wire::instance::{InstanceBody, InstanceRole};
use flume::Sender;

use super::parts::{process_mark, talk};
use super::{ReadyDuty, Rings, Site, spawn};
use crate::admit::{Admitter, RequestIds};
use crate::decide::{DecideMessage, Decider};
use crate::exchange::ExchangeLauncher;
use crate::feed::{FeedReaders, FeedSource};
use crate::meter::MeterDuty;
use crate::order::{OrderLink, Orderer};
use crate::peer::PeerMessage;
use crate::routed::{DisconnectWatcher, RoutedCallReader, RoutedListener, ServingState};
use crate::site::{SITE_WAIT, SiteDuty, SiteKind, SiteNews, SiteWatcher};
use crate::watch::Registrar;

/// One entry daemon that serves a site, running.
pub struct Gateway {
    address: SocketAddr,
    ready: Option<SocketAddr>,
    serving: ServingState,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    grace: Duration,
}

/// The limit of a call to the platform, in seconds; it answers in milliseconds.
const CALL_TIMEOUT: u64 = 1;
/// How long changes are gathered before the next watch: a watch for each single change would
/// cost a call each, and every bound on a change is seconds long.
const WATCH_GAP: Duration = Duration::from_millis(200);
/// The longest wait before the platform is asked again: changes must be in force within
/// seconds of its return.
const WATCH_CAP: Duration = Duration::from_millis(500);
/// The news of a site that wait to be composed.
const SITE_RING: usize = 256;
/// How long requests are still taken after the signal to stop. The balancer asks each second and
/// takes an instance out after two answers; what comes later than three seconds after the signal
/// has to end within the grace.
const LINGER: Duration = Duration::from_millis(2_900);
/// What is left of the grace when the last answers are given up.
const MARGIN: Duration = Duration::from_millis(500);
/// The time in which a request that crosses the end is read and refused.
const CROSSING: Duration = Duration::from_millis(50);
/// The margin within which the holder of the lease no longer gives orders, as a part of the
/// term. An order call takes less.
const MARGIN_PART: u32 = 3;
/// How long a request waits for a server of its region while another one has a free server:
/// short against every target, since the traffic costs less than being late.
const ABROAD_WAIT: Duration = Duration::from_millis(25);
/// The prompt tokens whose traffic to another region weighs a second: the volume costs little
/// beside computing a prompt again.
const ABROAD_TOLL: TokenRate = TokenRate::new(100_000);
/// How long a load holds up the next one if nothing is heard of its end: a load takes as long as
/// several when many load at once.
const LOAD_TIME: Duration = Duration::from_millis(3_000);
/// The margin before the bound of a rollout, or before a process is held to it, within which no
/// older weights are asked: a request may wait in a busy server before it begins.
const ROLLOUT_MARGIN: Duration = Duration::from_millis(2_000);

impl Gateway {
    /// Starts every duty of an entry that serves a site.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start<S: Site, F, L, N: FeedSource>(
        settings: &EntrySettings,
        served: &SiteSettings,
        site: S,
        form: F,
        link: L,
        news: N,
    ) -> Result<Self, Error>
    where
        F: ObjectForm + Send + 'static,
        L: OrderLink + Send + 'static,
    {
        const STEP: Step = Step::new("listen to peers");
        let peers = TcpListener::bind(settings.peer);
        let error = |e| Error::new(ErrorKind::System, STEP, e).with_peer(settings.peer);
        let peers = peers.map_err(error)?;
        let mark = process_mark(settings);
        let rings = Rings::new(settings.bounds.ring);
        let ids = RequestIds::new(mark);
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
        let balancer = ReadyDuty::new(served.ready, ready, serving.clone(), rings.meter.clone())?;
        let told = balancer.address();
        let api = HttpObjects::with_form(settings.platform, form).with_timeout(CALL_TIMEOUT);
        talk(settings, &rings, peers, mark)?;
        let decider = decider(settings, served, &rings, site.clone(), news);
        spawn("decide", move || decider.run())?;
        watch(served, &rings, &api, &site, &serving, mark)?;
        order(settings, served, &rings, &api, link, mark)?;
        register(settings, &rings, &api)?;
        let calls = RoutedCallReader::new(site);
        let meter = MeterDuty::new(rings.measures.clone(), rings.views(), api.calls().clone());
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
            ready: told,
            serving,
            decide: rings.decide,
            peer: rings.peer,
            grace: served.grace,
        })
    }

    /// Returns the address that callers reach.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which readiness and metrics are told.
    pub const fn ready_address(&self) -> Option<SocketAddr> {
        self.ready
    }

    /// Shuts down: is no longer ready, serves what the balancer still sends, then finishes what
    /// is being answered.
    pub fn drain(self) {
        let began = Instant::now();
        self.serving.start_draining();
        // Both duties end only with the process.
        let _ = self.peer.send(PeerMessage::Leave);
        std::thread::park_timeout(LINGER);
        // From here on a request that still comes is told that it has not run: a stream that
        // begins now may outlast the grace.
        let _ = self.decide.send(DecideMessage::Drain(None));
        std::thread::park_timeout(CROSSING);
        let left = self.serving.in_flight.wait(self.rest(began));
        if left > 0 {
            log::warn!(step = "stop", left = left; "the grace ends before the last answers");
        }
    }

    /// Returns what is left of the grace for the last answers.
    fn rest(&self, began: Instant) -> Duration {
        self.grace.saturating_sub(began.elapsed() + MARGIN)
    }
}

/// Returns the deciding duty.
fn decider<S: Site, N: FeedSource>(
    settings: &EntrySettings,
    served: &SiteSettings,
    rings: &Rings,
    site: S,
    news: N,
) -> Decider<PrefixLoad, ExchangeLauncher<S>, FeedReaders<N>> {
    let slack = RetrySlack {
        count: served.slack,
        window: served.window,
    };
    let config = RouterConfig::new(settings.zone.clone())
        .with_queue_limit(settings.bounds.queue)
        .with_retry_budget(served.retries, slack)
        .with_remote_delay(ABROAD_WAIT)
        .with_traffic_rate(ABROAD_TOLL)
        .with_shared_servers();
    let router = Router::new(config, PrefixLoad::new());
    let (decide, bounds) = (rings.decide.clone(), settings.bounds.clone());
    let launcher = ExchangeLauncher::new(site, decide, bounds, rings.clock);
    let readers = FeedReaders::new(news, rings.decide.clone());
    Decider::new(router, rings, launcher, readers, settings.instance.clone())
}

/// Starts the duties that hear the site.
fn watch<S: Site, F: ObjectForm + Send + 'static>(
    served: &SiteSettings,
    rings: &Rings,
    api: &HttpObjects<F>,
    site: &S,
    serving: &ServingState,
    mark: u64,
) -> Result<(), Error> {
    let (news, messages): (Sender<SiteNews>, _) = flume::bounded(SITE_RING);
    let grace = served.rollout.saturating_sub(ROLLOUT_MARGIN);
    let state = SiteState::new(served.zones.clone(), grace);
    let first = state.named_since(
        rings.clock.now(),
        served.settle.saturating_sub(ROLLOUT_MARGIN),
    );
    for kind in SiteKind::ALL {
        let plan = WatchSchedule::new(mark).with_timing(SITE_WAIT, WATCH_GAP, WATCH_CAP);
        let (api, news) = (api.clone(), news.clone());
        let watcher = SiteWatcher::new(api, site.clone(), kind, news, rings.clock, plan, first);
        spawn(kind.as_str(), move || watcher.run())?;
    }
    let duty = SiteDuty::new(
        state,
        messages,
        rings.admit.clone(),
        rings.decide.clone(),
        serving.clone(),
        rings.clock,
    );
    spawn("site", move || duty.run())?;
    Ok(())
}

/// Starts the duty that tells the platform of this instance.
fn register<F: ObjectForm + Send + 'static>(
    settings: &EntrySettings,
    rings: &Rings,
    api: &HttpObjects<F>,
) -> Result<(), Error> {
    let body = InstanceBody {
        role: InstanceRole::Entry,
        zone: settings.zone.as_str().to_owned(),
        address: settings.peer,
        leaving: false,
    };
    let (me, peer) = (settings.instance.clone(), rings.peer.clone());
    let registrar = Registrar::new(api.clone(), me, body, peer);
    spawn("register", move || registrar.run())?;
    Ok(())
}

/// Starts the ordering duty.
fn order<F: ObjectForm + Send + 'static, L: OrderLink + Send + 'static>(
    settings: &EntrySettings,
    served: &SiteSettings,
    rings: &Rings,
    api: &HttpObjects<F>,
    link: L,
    mark: u64,
) -> Result<(), Error> {
    let margin = served.term / MARGIN_PART;
    let config = LeaseConfig::new()
        .with_term(served.term, margin)
        .with_cooldown(served.term)
        .with_single_process();
    let lease = Lease::new(config, settings.instance.clone(), mark);
    let config = OrderConfig::new()
        .with_store_rate(settings.bounds.loads)
        .with_slot_timeout(LOAD_TIME)
        .with_mode(LoadMode::Swap);
    let messages = rings.order_messages.clone();
    let orderer = Orderer::new(api.clone(), link, messages, rings.clock, lease, config);
    let orderer = orderer.with_peers(rings.peer.clone());
    spawn("order", move || orderer.run())?;
    Ok(())
}
