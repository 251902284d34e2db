//! Groups of memberships that exchange their messages in memory.
#![expect(unreachable_pub, reason = "a test's module has no outside")]
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;

/// The time of a message on its way.
const DELAY: Duration = Duration::from_millis(2);
/// The time after which an unanswered message counts as missed.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What is on its way, or happens later.
enum Mail {
    Beat(InstanceId, InstanceId, Heartbeat),
    Answer(InstanceId, InstanceId, Heartbeat),
    Miss(InstanceId, InstanceId),
    Unserved(InstanceId, InstanceId),
    Version(InstanceId, ConfigVersion),
}

/// One entry instance: its membership and what it was told to take over.
pub struct Node {
    pub core: Membership,
    pub running: bool,
    pub paused_until: Timestamp,
    pub strikes: Vec<Strike>,
    pub signs: Vec<ServerUpdate>,
    pub demand: BTreeMap<InstanceId, Demand>,
    pub ready_at: Option<Timestamp>,
    pub started: Timestamp,
    life: u64,
}

/// A group of instances over some zones, a platform, and the faults between them.
pub struct Group {
    pub nodes: BTreeMap<InstanceId, Node>,
    pub now: Timestamp,
    pub published: ConfigVersion,
    pub platform: bool,
    pub sent: BTreeMap<InstanceId, Vec<Heartbeat>>,
    pub far_sent: usize,
    cut_zones: BTreeSet<ZoneId>,
    cut_nodes: BTreeSet<InstanceId>,
    offline: BTreeSet<ZoneId>,
    mail: BTreeMap<(Timestamp, u64), Mail>,
    sequence: u64,
    seed: u64,
    seeds: Vec<Instance>,
}

/// Returns the name of entry `number` of zone `zone`.
pub fn id(zone: usize, number: usize) -> InstanceId {
    InstanceId::new(&format!("z{zone}-entry-{number}"))
}

/// Returns the name of zone `number`.
pub fn zone(number: usize) -> ZoneId {
    ZoneId::new(&format!("z{number}"))
}

impl Group {
    /// Starts `entries` instances in each of `zones` zones.
    pub fn new(zones: usize, entries: usize, seed: u64) -> Self {
        let places = (0..zones).flat_map(|z| (0..entries).map(move |n| (z, n)));
        let seeds = places.map(|(z, n)| {
            let port = u16::try_from(1_000 + z * 100 + n).expect("a port");
            Instance::new(id(z, n), zone(z), ([10, 0, 0, 1], port).into())
        });
        let mut group = Self {
            nodes: BTreeMap::new(),
            now: Timestamp::from_millis(1),
            published: ConfigVersion::new(1),
            platform: true,
            sent: BTreeMap::new(),
            far_sent: 0,
            cut_zones: BTreeSet::new(),
            cut_nodes: BTreeSet::new(),
            offline: BTreeSet::new(),
            mail: BTreeMap::new(),
            sequence: 0,
            seed,
            seeds: seeds.collect(),
        };
        for place in 0..group.seeds.len() {
            let id = group.seeds[place].id.clone();
            group.start(&id);
        }
        group
    }

    /// Starts an instance, or starts it again with nothing but its settings.
    pub fn start(&mut self, id: &InstanceId) {
        let life = self.nodes.get(id).map_or(1, |n| n.life + 1);
        let me = self.seeds.iter().find(|s| s.id == *id).expect("a seed");
        // A restarted process takes its start time as its incarnation.
        let me = me
            .clone()
            .with_incarnation(Incarnation::new(self.now.as_micros()));
        let place = self.seeds.iter().position(|s| s.id == *id).expect("a seed");
        let seed = self.seed.wrapping_mul(1_000_003) + place as u64 * 7_919 + life * 104_729;
        let core = Membership::new(MembershipConfig::new(), me, &self.seeds, seed, self.now);
        let node = Node {
            core,
            running: true,
            paused_until: Timestamp::ZERO,
            strikes: Vec::new(),
            signs: Vec::new(),
            demand: BTreeMap::new(),
            ready_at: None,
            started: self.now,
            life,
        };
        self.nodes.insert(id.clone(), node);
        self.read_platform(id);
    }

    /// Stops an instance without a word.
    pub fn kill(&mut self, id: &InstanceId) {
        self.node(id).running = false;
    }

    /// Stops the process for a time, as a paused machine does.
    pub fn pause(&mut self, id: &InstanceId, time: Duration) {
        let until = self.now + time;
        self.node(id).paused_until = until;
    }

    /// Publishes a version of the configuration.
    pub fn publish(&mut self, version: ConfigVersion) {
        self.published = version;
        self.read_all();
    }

    /// Turns the platform on or off.
    pub fn set_platform(&mut self, up: bool) {
        self.platform = up;
        self.read_all();
    }

    /// Cuts a zone off from the platform, or joins it again.
    pub fn set_offline(&mut self, zone: &ZoneId, cut: bool) {
        set(&mut self.offline, zone, cut);
        self.read_all();
    }

    /// Cuts a zone off from other zones, or joins it again.
    pub fn cut_zone(&mut self, zone: &ZoneId, cut: bool) {
        set(&mut self.cut_zones, zone, cut);
    }

    /// Cuts an instance off from all peers, or joins it again.
    pub fn cut_node(&mut self, id: &InstanceId, cut: bool) {
        set(&mut self.cut_nodes, id, cut);
    }

    /// Ends every fault but that of stopped instances, which it starts again.
    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.cut_nodes.clear();
        self.offline.clear();
        self.set_platform(true);
        let now = self.now;
        let stopped = self.nodes.iter().filter(|(_, n)| !n.running);
        let stopped: Vec<_> = stopped.map(|(id, _)| id.clone()).collect();
        stopped.iter().for_each(|id| self.start(id));
        self.nodes.values_mut().for_each(|n| n.paused_until = now);
    }

    /// Tells an instance an event.
    pub fn tell(&mut self, id: &InstanceId, event: PeerEvent<'_>) {
        let mut out = Vec::new();
        let now = self.now;
        self.node(id).core.handle(event, now, &mut out);
        for action in out {
            self.carry_out(id, action);
        }
    }

    /// Lets time pass. `check` sees the group after every event.
    pub fn run(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while let Some((at, next)) = self.next_event().filter(|(at, _)| *at <= end) {
            self.now = at.max(self.now);
            match next {
                Some(id) => self.tell(&id, PeerEvent::Tick),
                None => self.deliver(),
            }
            check(self);
        }
        self.now = end;
    }

    /// Returns an instance.
    pub fn node(&mut self, id: &InstanceId) -> &mut Node {
        self.nodes.get_mut(id).expect("an instance")
    }

    /// Returns the instances that run and are not paused.
    pub fn awake(&self) -> impl Iterator<Item = (&InstanceId, &Node)> {
        self.nodes.iter().filter(|(_, n)| self.is_awake(n))
    }

    fn is_awake(&self, node: &Node) -> bool {
        node.running && node.paused_until <= self.now
    }

    /// Returns the time of the next event, and whose clock it is if it is no message.
    fn next_event(&self) -> Option<(Timestamp, Option<InstanceId>)> {
        let mail = self.mail.keys().next().map(|(at, _)| (*at, None));
        let running = self.nodes.iter().filter(|(_, n)| n.running);
        let ticks = running.map(|(id, n)| {
            let at = n.core.next_wakeup().max(n.paused_until).max(self.now);
            (at, Some(id.clone()))
        });
        ticks.chain(mail).min()
    }

    fn deliver(&mut self) {
        let Some((_, mail)) = self.mail.pop_first() else {
            return;
        };
        match mail {
            Mail::Beat(from, to, beat) => self.deliver_beat(from, to, &beat),
            Mail::Answer(from, to, beat) => {
                if self.reaches(&from, &to) && self.is_awake(&self.nodes[&to]) {
                    self.tell(&to, PeerEvent::Reply(&beat));
                }
            }
            Mail::Miss(to, peer) => self.tell_awake(&to, PeerEvent::Timeout(&peer)),
            Mail::Unserved(to, peer) => self.tell_awake(&to, PeerEvent::FetchFailed(&peer)),
            Mail::Version(to, version) => {
                let now = self.now;
                if self.is_awake(&self.nodes[&to]) {
                    self.tell(&to, PeerEvent::Version(version));
                    self.node(&to).ready_at.get_or_insert(now);
                }
            }
        }
    }

    fn tell_awake(&mut self, id: &InstanceId, event: PeerEvent<'_>) {
        if self.is_awake(&self.nodes[id]) {
            self.tell(id, event);
        }
    }

    fn deliver_beat(&mut self, from: InstanceId, to: InstanceId, beat: &Heartbeat) {
        if !self.reaches(&from, &to) || !self.is_awake(&self.nodes[&to]) {
            self.post(TIMEOUT, Mail::Miss(from, to));
            return;
        }
        let (mut out, now) = (Vec::new(), self.now);
        self.node(&to)
            .core
            .handle(PeerEvent::Heartbeat(beat), now, &mut out);
        for action in out {
            match action {
                PeerAction::Reply(answer) => {
                    self.sent
                        .entry(to.clone())
                        .or_default()
                        .push(answer.clone());
                    self.post(DELAY, Mail::Answer(to.clone(), from.clone(), answer));
                }
                other => self.carry_out(&to, other),
            }
        }
    }

    fn carry_out(&mut self, id: &InstanceId, action: PeerAction) {
        match action {
            PeerAction::Send(peer, beat) => {
                let far = self.nodes[id].core.me().zone != peer.zone;
                self.far_sent += usize::from(far);
                self.sent.entry(id.clone()).or_default().push(beat.clone());
                self.post(DELAY, Mail::Beat(id.clone(), peer.id, beat));
            }
            PeerAction::Fetch(peer, version) => self.fetch(id, &peer.id, version),
            PeerAction::Strike(strike) => self.node(id).strikes.push(strike),
            PeerAction::Server(news) => self.node(id).signs.push(news),
            PeerAction::Demand(demand) => {
                self.node(id).demand.insert(demand.instance.clone(), demand);
            }
            PeerAction::Reply(_) | PeerAction::LiveCount(_) | PeerAction::Loading(_) => {}
        }
    }

    fn fetch(&mut self, id: &InstanceId, peer: &InstanceId, version: ConfigVersion) {
        let known = self.nodes[peer].core.version();
        let open = self.reaches(id, peer) && self.is_awake(&self.nodes[peer]);
        if open && known > version {
            self.post(2 * DELAY, Mail::Version(id.clone(), known));
        } else {
            let wait = if open { 2 * DELAY } else { TIMEOUT };
            self.post(wait, Mail::Unserved(id.clone(), peer.clone()));
        }
    }

    fn post(&mut self, wait: Duration, mail: Mail) {
        self.sequence += 1;
        self.mail.insert((self.now + wait, self.sequence), mail);
    }

    fn read_all(&mut self) {
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        ids.iter().for_each(|id| self.read_platform(id));
    }

    fn read_platform(&mut self, id: &InstanceId) {
        let zone = &self.nodes[id].core.me().zone;
        if self.platform && !self.offline.contains(zone) {
            let version = self.published;
            self.post(DELAY, Mail::Version(id.clone(), version));
        }
    }

    fn reaches(&self, from: &InstanceId, to: &InstanceId) -> bool {
        let (one, two) = (
            &self.nodes[from].core.me().zone,
            &self.nodes[to].core.me().zone,
        );
        let cut = |z: &ZoneId| self.cut_zones.contains(z);
        let alone = |i: &InstanceId| self.cut_nodes.contains(i);
        from == to || !(alone(from) || alone(to) || one != two && (cut(one) || cut(two)))
    }
}

fn set<T: Clone + Ord>(items: &mut BTreeSet<T>, item: &T, present: bool) {
    if present {
        items.insert(item.clone());
    } else {
        items.remove(item);
    }
}
