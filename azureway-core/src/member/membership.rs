//! The membership itself.

use super::{
    CatchUp, Gossip, GossipUpdate, Heartbeat, Liveness, MemberUpdate, MembershipConfig, PeerAction,
    PeerEvent, PeerTable, Refreshes, RoundTimer, Targets, TopDemand,
};
use crate::admit::Demand;
use crate::domain::{ConfigVersion, Instance, InstanceId, Timestamp};

/// What one instance believes of its peers. Events and the time go in, actions come out.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) me: Instance,
    pub(super) peers: PeerTable,
    pub(super) gossip: Gossip,
    targets: Targets,
    pub(super) catchup: CatchUp,
    refreshes: Refreshes,
    demand: TopDemand,
    pub(super) pace: RoundTimer,
    pub(super) seen: Timestamp,
    returning: bool,
    pub(super) left: bool,
    live_count: u32,
}

impl Membership {
    /// Creates the membership of `me`, which starts at `now` and finds `known` peers in its
    /// settings. `seed` spreads instances that start together.
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
            me,
            peers,
            gossip: Gossip::new(),
            targets: Targets::new(seed),
            catchup: CatchUp::new(seed, now),
            refreshes: Refreshes::new(),
            demand: TopDemand::new(),
            pace: RoundTimer::new(seed, now),
            seen: now,
            returning: false,
            left: false,
            live_count: 1,
        }
    }

    /// Takes in an event and appends what is to be done about it.
    pub fn handle(&mut self, event: PeerEvent<'_>, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.notice_pause(now);
        self.seen = now;
        match event {
            PeerEvent::Heartbeat(beat) => self.hear(beat, now, out),
            PeerEvent::Reply(beat) => self.take_answer(beat, now, out),
            PeerEvent::Timeout(id) => self.miss(id, now),
            PeerEvent::FetchFailed(_) => self.catchup.fail(now),
            PeerEvent::Listed(list) => self.list(list, now),
            PeerEvent::Version(version) => self.catchup.adopt(version),
            PeerEvent::Demand(demand) => self.demand.note(demand, self.config.max_accounts),
            PeerEvent::Server(news) => self.tell(GossipUpdate::Server(news.clone()), now),
            PeerEvent::Strike(strike) => self.tell(GossipUpdate::Strike(strike.clone()), now),
            PeerEvent::Loading(loading) => self.announce(loading, out),
            PeerEvent::Leaving => self.leave(out),
            PeerEvent::Tick => {}
        }
        self.pass_time(now, out);
        self.recount(out);
    }

    /// Returns when the membership wants to be told of the time at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        if self.left {
            return Timestamp::MAX;
        }
        let fetch = self.catchup.next_wakeup();
        let round = self.pace.next_round();
        fetch.map_or(round, |t| t.min(round))
    }

    /// Returns this instance as its peers know it.
    pub const fn me(&self) -> &Instance {
        &self.me
    }

    /// Returns the peers.
    pub const fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the number of live instances of the zone, with this one.
    pub const fn live_count(&self) -> u32 {
        self.live_count
    }

    /// Returns the version of the configuration that is in force here.
    pub const fn version(&self) -> ConfigVersion {
        self.catchup.version()
    }

    /// Notices that this instance was paused: what it believes is old, so it first learns.
    fn notice_pause(&mut self, now: Timestamp) {
        if now.since(self.seen) < self.config.pause_threshold {
            return;
        }
        self.returning = true;
        self.refreshes.want();
        self.peers.restart_suspicions(now);
        self.pace.start(now);
    }

    fn hear(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.absorb(beat, now, out);
        let reply = self.compose(Some(&beat.from.id), beat.full, now);
        out.push(PeerAction::Reply(reply));
    }

    fn take_answer(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.returning = false;
        self.peers.record_reply(&beat.from.id);
        self.absorb(beat, now, out);
        let same = beat.digest == self.peers.digest(&self.me);
        self.refreshes
            .of(&self.me, &beat.from)
            .note(beat.full, same);
    }

    /// Notes that a peer did not answer. Only instances of one zone judge one another: a link
    /// between zones that is cut says nothing about those at its other end.
    fn miss(&mut self, id: &InstanceId, now: Timestamp) {
        self.peers.record_miss(id);
        let Some(member) = self.peers.get(id) else {
            return;
        };
        let near = member.latest.instance.zone == self.me.zone;
        if self.returning || !near || member.latest.liveness != Liveness::Alive {
            return;
        }
        let news = MemberUpdate::new(member.latest.instance.clone(), Liveness::Suspect);
        self.note_member(&news, now);
    }

    fn list(&mut self, list: &[Instance], now: Timestamp) {
        for instance in list.iter().filter(|i| i.id != self.me.id) {
            self.peers.add_listed(instance, now);
        }
    }

    fn pass_time(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        if self.left {
            return;
        }
        if !self.returning {
            let zone = &self.me.zone;
            for news in self
                .peers
                .expired_suspicions(zone, self.config.suspicion_timeout, now)
            {
                self.note_member(&news, now);
            }
        }
        if self.pace.is_due(now) {
            self.beat(now, out);
        }
        if let Some(peer) = self.catchup.due(&self.peers, &self.me.zone, now) {
            out.push(PeerAction::Fetch(peer, self.catchup.version()));
        }
    }

    /// Sends a round of heartbeats.
    fn beat(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        self.peers.remove_expired(self.config.retention, now);
        let targets = self.targets.choose(&self.peers, &self.me, &self.config);
        for peer in targets {
            let mut beat = self.compose(Some(&peer.id), false, now);
            let refresh = self.refreshes.of(&self.me, &peer);
            beat.full = refresh.ask(self.config.sync_interval, now);
            out.push(PeerAction::Send(peer, beat));
        }
        self.pace.finish(self.config.interval, now);
    }

    /// Composes a heartbeat. What is believed of its receiver comes first, if it is anything
    /// but good, so that the receiver can contradict.
    pub(super) fn compose(
        &mut self,
        to: Option<&InstanceId>,
        full: bool,
        now: Timestamp,
    ) -> Heartbeat {
        let mut updates = Vec::new();
        let told = to.and_then(|id| self.peers.get(id));
        if let Some(member) = told.filter(|m| m.latest.liveness > Liveness::Alive) {
            updates.push(GossipUpdate::Member(member.latest.clone()));
        }
        if self.left {
            let left = MemberUpdate::new(self.me.clone(), Liveness::Left);
            updates.push(GossipUpdate::Member(left));
        }
        if full {
            updates.extend(self.gossip.everything(&self.peers, now));
        } else if !self.returning {
            let size = self.peers.iter().count();
            updates.extend(self.gossip.latest(self.config.max_updates, size, now));
        }
        Heartbeat {
            from: self.me.clone(),
            version: self.catchup.version(),
            digest: self.peers.digest(&self.me),
            full,
            updates,
            demand: self.demand.rates().to_vec(),
        }
    }

    /// Takes over what a heartbeat says.
    fn absorb(&mut self, beat: &Heartbeat, now: Timestamp, out: &mut Vec<PeerAction>) {
        let sender = MemberUpdate::new(beat.from.clone(), Liveness::Alive);
        self.note_member(&sender, now);
        for news in &beat.updates {
            if let GossipUpdate::Member(member) = news {
                if member.instance.id == self.me.id {
                    self.contradict(member);
                } else {
                    self.note_member(member, now);
                }
            } else if let GossipUpdate::Loading(loading) = news {
                out.push(PeerAction::Loading(loading.clone()));
            } else if self.gossip.merge(news, now) {
                out.extend(PeerAction::from_update(news));
                self.pace.hurry(now);
            }
        }
        self.catchup.offer(&beat.from.id, beat.version, now);
        if !beat.demand.is_empty() {
            out.push(PeerAction::Demand(Demand {
                instance: beat.from.id.clone(),
                rates: beat.demand.clone(),
            }));
        }
    }

    /// Takes in news of a peer, and passes it on if it was new.
    fn note_member(&mut self, news: &MemberUpdate, now: Timestamp) {
        if self.peers.merge(news, now) {
            self.gossip.push(news);
        }
    }

    /// Takes a greater incarnation if peers believe that this instance is not alive, or
    /// remember a later one than its own.
    fn contradict(&mut self, news: &MemberUpdate) {
        let (mine, theirs) = (self.me.incarnation, news.instance.incarnation);
        let wrong = news.liveness > Liveness::Alive && theirs >= mine;
        if (wrong || theirs > mine) && !self.left {
            self.me.incarnation = theirs.next();
            let alive = MemberUpdate::new(self.me.clone(), Liveness::Alive);
            self.gossip.push(&alive);
        }
    }

    fn recount(&mut self, out: &mut Vec<PeerAction>) {
        let count = self.peers.live_count(&self.me.zone) + 1;
        if count != self.live_count {
            self.live_count = count;
            out.push(PeerAction::LiveCount(count));
        }
    }
}
