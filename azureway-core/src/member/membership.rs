//! The membership protocol, which an entry's peer duty drives.

use super::{
    ConfigFetcher, DemandTable, Gossip, GossipUpdate, Heartbeat, Liveness, MemberUpdate,
    MembershipConfig, PeerAction, PeerEvent, PeerTable, ReportAnnouncer, RoundTimer, SyncTimers,
    TargetSelector,
};
use crate::domain::{ConfigVersion, Instance, InstanceId, Timestamp};

/// The largest number of client accounts whose use is relayed.
const RELAY_ACCOUNTS: usize = 16;

/// The membership protocol of one instance, which tracks the liveness of its peers.
///
/// It is a state machine without I/O: events and the time go in, actions come out.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) me: Instance,
    pub(super) peers: PeerTable,
    pub(super) gossip: Gossip,
    targets: TargetSelector,
    pub(super) config_fetcher: ConfigFetcher,
    sync_timers: SyncTimers,
    pub(super) demand: DemandTable,
    /// The time of the last round of demand.
    pub(super) relayed: Timestamp,
    pub(super) round_timer: RoundTimer,
    pub(super) announcer: ReportAnnouncer,
    pub(super) last_event: Timestamp,
    resuming: bool,
    pub(super) left: bool,
    live_count: u32,
}

impl Membership {
    /// Creates the membership of `me`, which starts at `now` with the peers `known` from its
    /// settings. `seed` gives instances that start together different timings.
    pub fn new<'a>(
        config: MembershipConfig,
        me: Instance,
        known: impl IntoIterator<Item = &'a Instance>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut peers = PeerTable::new();
        let others = known.into_iter().filter(|p| p.id != me.id);
        others.for_each(|p| peers.add_listed(p, now));
        Self {
            config,
            peers,
            gossip: Gossip::new(),
            targets: TargetSelector::new(seed),
            config_fetcher: ConfigFetcher::new(seed, now),
            sync_timers: SyncTimers::new(),
            demand: DemandTable::new(me.zone.clone()),
            relayed: now,
            me,
            round_timer: RoundTimer::new(seed, now),
            announcer: ReportAnnouncer::new(),
            last_event: now,
            resuming: false,
            left: false,
            live_count: 1,
        }
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: PeerEvent<'_>, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.detect_pause(now);
        self.last_event = now;
        match event {
            PeerEvent::Heartbeat(beat) => self.handle_heartbeat(beat, now, out),
            PeerEvent::Reply(beat) => self.handle_reply(beat, now, out),
            PeerEvent::Timeout(id) => self.handle_timeout(id, now),
            PeerEvent::FetchFailed(_) => self.config_fetcher.record_failure(now),
            PeerEvent::Listed(list) => self.add_listed(list, now),
            PeerEvent::Version(version) => self.config_fetcher.adopt(version),
            PeerEvent::Demand(demand) => self.demand.update(demand, RELAY_ACCOUNTS, now),
            PeerEvent::Server(update) => self.publish(GossipUpdate::Server(update.clone()), now),
            PeerEvent::CrashReport(report) => self.publish_report(report, now),
            PeerEvent::Loading(loading) => self.announce_load(loading, out),
            PeerEvent::Leaving => self.leave(out),
            PeerEvent::Tick => {}
        }
        self.advance(now, out);
        self.update_live_count(out);
    }

    /// Returns the time of the next timer. The caller must pass a tick then if no other event came
    /// first.
    pub fn next_wakeup(&self) -> Timestamp {
        if self.left {
            return Timestamp::MAX;
        }
        let fetch = self.config_fetcher.next_wakeup();
        let times = [fetch, self.announcer.next_wakeup(), self.next_relay()];
        let round = self.round_timer.next_round();
        times.into_iter().flatten().fold(round, Timestamp::min)
    }

    /// Returns this instance with its current incarnation.
    pub const fn me(&self) -> &Instance {
        &self.me
    }

    /// Returns the table of peers.
    pub const fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the number of live instances of the zone, including this one.
    pub const fn live_count(&self) -> u32 {
        self.live_count
    }

    /// Returns the configuration version in effect at this instance.
    pub const fn version(&self) -> ConfigVersion {
        self.config_fetcher.version()
    }

    /// Detects that this instance was paused. Its view is then outdated: it requests a full sync,
    /// and until a peer replies it suspects nobody and passes on no updates.
    fn detect_pause(&mut self, now: Timestamp) {
        if now.since(self.last_event) < self.config.pause_threshold {
            return;
        }
        self.resuming = true;
        self.sync_timers.request();
        self.peers.restart_suspicions(now);
        self.round_timer.start_now(now);
    }

    fn handle_heartbeat(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.apply_heartbeat(beat, now, out);
        let mut reply = self.compose(Some(&beat.from.id), beat.full, now);
        if !beat.zones.is_empty() {
            reply.demand = self.demand.own().to_vec();
            reply.zones = self.known_demand(now);
        }
        out.push(PeerAction::Reply(reply));
    }

    fn handle_reply(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.resuming = false;
        self.peers.record_reply(&beat.from.id);
        self.apply_heartbeat(beat, now, out);
        if beat.from.zone == self.me.zone && !beat.zones.is_empty() {
            out.push(PeerAction::Demand(self.demand.zones(now)));
        }
        let same = beat.digest == self.peers.digest(&self.me);
        self.sync_timers
            .for_peer(&self.me, &beat.from)
            .record_reply(beat.full, same);
    }

    /// Handles a heartbeat without a reply. Only instances of the same zone suspect one another,
    /// because a failed link between zones does not mean that instances have failed.
    fn handle_timeout(&mut self, id: &InstanceId, now: Timestamp) {
        self.peers.record_miss(id);
        let Some(member) = self.peers.get(id) else {
            return;
        };
        let same_zone = member.latest.instance.zone == self.me.zone;
        if self.resuming || !same_zone || member.latest.liveness != Liveness::Alive {
            return;
        }
        let update = MemberUpdate::new(member.latest.instance.clone(), Liveness::Suspect);
        self.apply_member(&update, now);
    }

    fn add_listed(&mut self, instances: &[Instance], now: Timestamp) {
        for instance in instances.iter().filter(|i| i.id != self.me.id) {
            self.peers.add_listed(instance, now);
        }
    }

    fn advance(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        if self.left {
            return;
        }
        if !self.resuming {
            let zone = &self.me.zone;
            for update in self
                .peers
                .expired_suspicions(zone, self.config.suspicion_timeout, now)
            {
                self.apply_member(&update, now);
            }
        }
        self.announce_reports(now, out);
        self.relay_demand(now, out);
        if self.round_timer.is_due(now) {
            self.send_round(now, out);
        }
        if let Some(peer) = self
            .config_fetcher
            .next_peer(&self.peers, &self.me.zone, now)
        {
            out.push(PeerAction::Fetch(peer, self.config_fetcher.version()));
        }
    }

    /// Sends one round of heartbeats.
    fn send_round(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.peers.remove_expired(self.config.retention, now);
        let targets = self.targets.select(&self.peers, &self.me, &self.config);
        for peer in targets {
            let mut beat = self.compose(Some(&peer.id), false, now);
            let sync_timer = self.sync_timers.for_peer(&self.me, &peer);
            beat.full = sync_timer.start_if_due(self.config.sync_interval, now);
            out.push(PeerAction::Send(peer, beat));
        }
        self.round_timer.schedule_next(self.config.interval, now);
    }

    /// Composes a heartbeat. If this instance does not consider the receiver alive, the update that
    /// says so comes first, so that the receiver can refute it.
    pub(super) fn compose(
        &mut self,
        to: Option<&InstanceId>,
        full: bool,
        now: Timestamp,
    ) -> Heartbeat {
        let mut updates = Vec::new();
        let receiver = to.and_then(|id| self.peers.get(id));
        if let Some(member) = receiver.filter(|m| m.latest.liveness > Liveness::Alive) {
            updates.push(GossipUpdate::Member(member.latest.clone()));
        }
        if self.left {
            let left = MemberUpdate::new(self.me.clone(), Liveness::Left);
            updates.push(GossipUpdate::Member(left));
        }
        if full {
            updates.extend(self.gossip.all(&self.peers, now));
        } else if !self.resuming {
            let size = self.peers.iter().count();
            updates.extend(self.gossip.next_batch(self.config.max_updates, size, now));
        }
        Heartbeat {
            from: self.me.clone(),
            version: self.config_fetcher.version(),
            digest: self.peers.digest(&self.me),
            full,
            updates,
            demand: Vec::new(),
            zones: Vec::new(),
        }
    }

    /// Applies the contents of a heartbeat or a reply.
    fn apply_heartbeat(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        let sender = MemberUpdate::new(beat.from.clone(), Liveness::Alive);
        self.apply_member(&sender, now);
        for update in &beat.updates {
            if let GossipUpdate::Member(member) = update {
                if member.instance.id == self.me.id {
                    self.refute(member);
                } else {
                    self.apply_member(member, now);
                }
            } else if let GossipUpdate::Loading(loading) = update {
                out.push(PeerAction::Loading(loading.clone()));
            } else if update.is_announced() {
                if self.gossip.record(update, now) {
                    out.extend(PeerAction::from_update(update));
                }
            } else if self.gossip.merge(update, now) {
                out.extend(PeerAction::from_update(update));
                self.round_timer.bring_forward(now);
            }
        }
        self.config_fetcher
            .record_offer(&beat.from.id, beat.version, now);
        self.demand.record(beat, now);
    }

    /// Merges an update about a peer, and queues it for gossip if it was new.
    fn apply_member(&mut self, update: &MemberUpdate, now: Timestamp) {
        if self.peers.merge(update, now) {
            self.gossip.enqueue(update);
        }
    }

    /// Moves to a greater incarnation if peers do not consider this instance alive, or know a
    /// greater incarnation than its own.
    fn refute(&mut self, update: &MemberUpdate) {
        let (mine, theirs) = (self.me.incarnation, update.instance.incarnation);
        let wrong = update.liveness > Liveness::Alive && theirs >= mine;
        if (wrong || theirs > mine) && !self.left {
            self.me.incarnation = theirs.next();
            let alive = MemberUpdate::new(self.me.clone(), Liveness::Alive);
            self.gossip.enqueue(&alive);
        }
    }

    fn update_live_count(&mut self, out: &mut Vec<PeerAction>) {
        let count = self.peers.live_count(&self.me.zone) + 1;
        if count != self.live_count {
            self.live_count = count;
            out.push(PeerAction::LiveCount(count));
        }
    }
}
