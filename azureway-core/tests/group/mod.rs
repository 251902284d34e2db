//! A simulated group of memberships that exchange messages in memory, in virtual time.
#![expect(
    unreachable_pub,
    reason = "a module of a test is not reachable from outside"
)]
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;

/// The latency of a message.
const DELAY: Duration = Duration::from_millis(2);
/// The time after which a message without a reply counts as missed.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A message in flight, or a later event.
enum Message {
    Heartbeat(InstanceId, InstanceId, Heartbeat),
    Reply(InstanceId, InstanceId, Heartbeat),
    Timeout(InstanceId, InstanceId),
    FetchFailed(InstanceId, InstanceId),
    Config(InstanceId, ConfigVersion),
}

/// One entry instance: its membership, and what the membership's actions delivered.
pub struct Node {
    pub core: Membership,
    pub running: bool,
    pub paused_until: Timestamp,
    pub crash_reports: Vec<CrashReport>,
    pub server_updates: Vec<ServerUpdate>,
    pub demand: BTreeMap<ZoneId, ZoneDemand>,
    pub ready_at: Option<Timestamp>,
    pub started: Timestamp,
    run_number: u64,
}

/// A group of instances in several zones, the platform, and the faults between them.
pub struct Group {
    pub nodes: BTreeMap<InstanceId, Node>,
    pub now: Timestamp,
    pub published: ConfigVersion,
    pub platform: bool,
    pub sent: BTreeMap<InstanceId, Vec<Heartbeat>>,
    pub cross_zone_sent: usize,
    cut_zones: BTreeSet<ZoneId>,
    cut_nodes: BTreeSet<InstanceId>,
    offline: BTreeSet<ZoneId>,
    queue: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    seed: u64,
    instances: Vec<Instance>,
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
        let numbers = (0..zones).flat_map(|z| (0..entries).map(move |n| (z, n)));
        let instances = numbers.map(|(z, n)| {
            let port = u16::try_from(1_000 + z * 100 + n).expect("a port");
            Instance::new(id(z, n), zone(z), ([10, 0, 0, 1], port).into())
        });
        let mut group = Self {
            nodes: BTreeMap::new(),
            now: Timestamp::from_millis(1),
            published: ConfigVersion::new(1),
            platform: true,
            sent: BTreeMap::new(),
            cross_zone_sent: 0,
            cut_zones: BTreeSet::new(),
            cut_nodes: BTreeSet::new(),
            offline: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
            instances: instances.collect(),
        };
        for index in 0..group.instances.len() {
            let id = group.instances[index].id.clone();
            group.start(&id);
        }
        group
    }

    /// Starts an instance, or restarts it with nothing but its settings.
    pub fn start(&mut self, id: &InstanceId) {
        let run_number = self.nodes.get(id).map_or(1, |n| n.run_number + 1);
        let me = self
            .instances
            .iter()
            .find(|s| s.id == *id)
            .expect("an instance");
        // A restarted process takes its start time as its incarnation.
        let me = me
            .clone()
            .with_incarnation(Incarnation::new(self.now.as_micros()));
        let index = self
            .instances
            .iter()
            .position(|s| s.id == *id)
            .expect("an instance");
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64 * 7_919 + run_number * 104_729;
        let core = Membership::new(MembershipConfig::new(), me, &self.instances, seed, self.now);
        let node = Node {
            core,
            running: true,
            paused_until: Timestamp::ZERO,
            crash_reports: Vec::new(),
            server_updates: Vec::new(),
            demand: BTreeMap::new(),
            ready_at: None,
            started: self.now,
            run_number,
        };
        self.nodes.insert(id.clone(), node);
        self.read_config(id);
    }

    /// Stops an instance without a notice to its peers.
    pub fn kill(&mut self, id: &InstanceId) {
        self.node(id).running = false;
    }

    /// Pauses the process for a time, as a paused machine does.
    pub fn pause(&mut self, id: &InstanceId, time: Duration) {
        let until = self.now + time;
        self.node(id).paused_until = until;
    }

    /// Publishes a version of the configuration.
    pub fn publish(&mut self, version: ConfigVersion) {
        self.published = version;
        self.read_config_everywhere();
    }

    /// Turns the platform on or off.
    pub fn set_platform(&mut self, up: bool) {
        self.platform = up;
        self.read_config_everywhere();
    }

    /// Disconnects a zone from the platform, or reconnects it.
    pub fn set_offline(&mut self, zone: &ZoneId, cut: bool) {
        insert_or_remove(&mut self.offline, zone, cut);
        self.read_config_everywhere();
    }

    /// Disconnects a zone from the other zones, or reconnects it.
    pub fn cut_zone(&mut self, zone: &ZoneId, cut: bool) {
        insert_or_remove(&mut self.cut_zones, zone, cut);
    }

    /// Disconnects an instance from all peers, or reconnects it.
    pub fn cut_node(&mut self, id: &InstanceId, cut: bool) {
        insert_or_remove(&mut self.cut_nodes, id, cut);
    }

    /// Ends all faults, and restarts the instances that were stopped.
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

    /// Passes an event to an instance and executes the resulting actions.
    pub fn handle_event(&mut self, id: &InstanceId, event: PeerEvent<'_>) {
        let mut out = Vec::new();
        let now = self.now;
        self.node(id).core.handle(event, now, &mut out);
        for action in out {
            self.execute(id, action);
        }
    }

    /// Advances the time by `time`. `check` is called after every event.
    pub fn run(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while let Some((at, next)) = self.next_event().filter(|(at, _)| *at <= end) {
            self.now = at.max(self.now);
            match next {
                Some(id) => self.handle_event(&id, PeerEvent::Tick),
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

    /// Returns the time of the next event, and the instance if it is a tick rather than a message.
    fn next_event(&self) -> Option<(Timestamp, Option<InstanceId>)> {
        let message = self.queue.keys().next().map(|(at, _)| (*at, None));
        let running = self.nodes.iter().filter(|(_, n)| n.running);
        let ticks = running.map(|(id, n)| {
            let at = n.core.next_wakeup().max(n.paused_until).max(self.now);
            (at, Some(id.clone()))
        });
        ticks.chain(message).min()
    }

    fn deliver(&mut self) {
        let Some((_, message)) = self.queue.pop_first() else {
            return;
        };
        match message {
            Message::Heartbeat(from, to, beat) => self.deliver_heartbeat(from, to, &beat),
            Message::Reply(from, to, beat) => {
                if self.can_reach(&from, &to) && self.is_awake(&self.nodes[&to]) {
                    self.handle_event(&to, PeerEvent::Reply(&beat));
                }
            }
            Message::Timeout(to, peer) => self.handle_if_awake(&to, PeerEvent::Timeout(&peer)),
            Message::FetchFailed(to, peer) => {
                self.handle_if_awake(&to, PeerEvent::FetchFailed(&peer))
            }
            Message::Config(to, version) => {
                let now = self.now;
                if self.is_awake(&self.nodes[&to]) {
                    self.handle_event(&to, PeerEvent::Version(version));
                    self.node(&to).ready_at.get_or_insert(now);
                }
            }
        }
    }

    fn handle_if_awake(&mut self, id: &InstanceId, event: PeerEvent<'_>) {
        if self.is_awake(&self.nodes[id]) {
            self.handle_event(id, event);
        }
    }

    fn deliver_heartbeat(&mut self, from: InstanceId, to: InstanceId, beat: &Heartbeat) {
        if !self.can_reach(&from, &to) || !self.is_awake(&self.nodes[&to]) {
            self.schedule(TIMEOUT, Message::Timeout(from, to));
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
                    self.schedule(DELAY, Message::Reply(to.clone(), from.clone(), answer));
                }
                other => self.execute(&to, other),
            }
        }
    }

    fn execute(&mut self, id: &InstanceId, action: PeerAction) {
        match action {
            PeerAction::Send(peer, beat)
            | PeerAction::Announce(peer, beat)
            | PeerAction::Relay(peer, beat) => {
                let cross_zone = self.nodes[id].core.me().zone != peer.zone;
                self.cross_zone_sent += usize::from(cross_zone);
                self.sent.entry(id.clone()).or_default().push(beat.clone());
                self.schedule(DELAY, Message::Heartbeat(id.clone(), peer.id, beat));
            }
            PeerAction::Fetch(peer, version) => self.fetch(id, &peer.id, version),
            PeerAction::CrashReport(report) => self.node(id).crash_reports.push(report),
            PeerAction::Server(update) => self.node(id).server_updates.push(update),
            PeerAction::Demand(zones) => {
                let zones = zones.into_iter().map(|z| (z.zone.clone(), z));
                self.node(id).demand.extend(zones);
            }
            PeerAction::Reply(_) | PeerAction::LiveCount(_) | PeerAction::Loading(_) => {}
        }
    }

    fn fetch(&mut self, id: &InstanceId, peer: &InstanceId, version: ConfigVersion) {
        let known = self.nodes[peer].core.version();
        let reachable = self.can_reach(id, peer) && self.is_awake(&self.nodes[peer]);
        if reachable && known > version {
            self.schedule(2 * DELAY, Message::Config(id.clone(), known));
        } else {
            let wait = if reachable { 2 * DELAY } else { TIMEOUT };
            self.schedule(wait, Message::FetchFailed(id.clone(), peer.clone()));
        }
    }

    fn schedule(&mut self, wait: Duration, message: Message) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), message);
    }

    fn read_config_everywhere(&mut self) {
        let ids: Vec<_> = self.nodes.keys().cloned().collect();
        ids.iter().for_each(|id| self.read_config(id));
    }

    fn read_config(&mut self, id: &InstanceId) {
        let zone = &self.nodes[id].core.me().zone;
        if self.platform && !self.offline.contains(zone) {
            let version = self.published;
            self.schedule(DELAY, Message::Config(id.clone(), version));
        }
    }

    fn can_reach(&self, from: &InstanceId, to: &InstanceId) -> bool {
        let (one, two) = (
            &self.nodes[from].core.me().zone,
            &self.nodes[to].core.me().zone,
        );
        let cut = |z: &ZoneId| self.cut_zones.contains(z);
        let isolated = |i: &InstanceId| self.cut_nodes.contains(i);
        from == to || !(isolated(from) || isolated(to) || one != two && (cut(one) || cut(two)))
    }
}

fn insert_or_remove<T: Clone + Ord>(items: &mut BTreeSet<T>, item: &T, present: bool) {
    if present {
        items.insert(item.clone());
    } else {
        items.remove(item);
    }
}
