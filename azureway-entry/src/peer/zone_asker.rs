//! What the peer duty does so that a zone reads the platform, and each feed, by a few of its entries.

use azureway_core::prelude::{
    FeedAudience, Instance, InstanceId, MemberUpdate, Membership, ZoneReaders,
};
use flume::Sender;
use smallvec::SmallVec;
use tonic::transport::Channel;

use super::{PeerCall, PeerConnections, PeerMessage};
use crate::zone::{ZoneReply, ZoneRequest};

/// Passes the requests of this entry's watchers to the entry that reads the platform for the zone, and
/// notices when the entries that read feeds change.
///
/// All entries may have started at once. One that has not seen the platform's list of entries would take itself
/// for the only one, and read the platform and all feeds as all the others do. So both wait for that list.
#[derive(Debug)]
pub struct ZoneAsker {
    peer: Sender<PeerMessage>,
    /// Whether the platform's list of entry instances was read.
    listed: bool,
    /// The requests that wait for that list.
    waiting: Vec<(ZoneRequest, ZoneReply)>,
    /// The audience of feeds that the deciding duty was told last.
    audience: Option<FeedAudience>,
    /// The connections to readers. They are not those for heartbeats, whose calls have a shorter limit.
    readers: SmallVec<[(Instance, Channel); MAX_READERS]>,
}

/// The number of connections to readers that are kept: those of a zone and a few others.
const MAX_READERS: usize = 4;

impl ZoneAsker {
    /// Creates the state before the first list. Calls report to the ring `peer`.
    pub const fn new(peer: Sender<PeerMessage>) -> Self {
        Self {
            peer,
            listed: false,
            waiting: Vec::new(),
            audience: None,
            readers: SmallVec::new_const(),
        }
    }

    /// Records that the platform's list of entry instances was read, and makes the waiting requests.
    pub fn record_list(&mut self, membership: &Membership) {
        self.listed = true;
        self.ask_waiting(membership);
    }

    /// Makes the requests that wait for the first list. Without one they wait for a round of heartbeats, and the
    /// platform is read then.
    pub fn ask_waiting(&mut self, membership: &Membership) {
        for (request, reply) in std::mem::take(&mut self.waiting) {
            self.ask_reader(request, reply, membership);
        }
    }

    /// Asks the reader of the zone, once the first list was read.
    pub fn ask(&mut self, request: ZoneRequest, reply: ZoneReply, membership: &Membership) {
        match self.listed {
            true => self.ask_reader(request, reply, membership),
            false => self.waiting.push((request, reply)),
        }
    }

    /// Returns the entries that read feeds, if they have changed since the last call.
    pub fn changed_audience(&mut self, membership: &Membership) -> Option<FeedAudience> {
        let others = known(membership);
        let others = others.map(|m| (m.instance.id.clone(), m.instance.zone.clone()));
        let me = membership.me();
        let audience = FeedAudience::new(me.id.clone(), me.zone.clone(), others.collect());
        let changed = self.listed && self.audience.as_ref() != Some(&audience);
        if changed {
            self.audience = Some(audience.clone());
        }
        changed.then_some(audience)
    }

    /// Drops the connection to a peer that did not answer. It may be stuck while the peer is reachable.
    pub fn close(&mut self, peer: &InstanceId) {
        self.readers.retain(|(reader, _)| reader.id != *peer);
    }

    /// Asks a peer that reads the platform for the zone, unless this instance does so, or any peer if
    /// this instance has lost the platform.
    fn ask_reader(&mut self, request: ZoneRequest, reply: ZoneReply, membership: &Membership) {
        let me = membership.me();
        let near = known(membership).filter(|m| m.instance.zone == me.zone);
        let near: Vec<InstanceId> = near.map(|m| m.instance.id.clone()).collect();
        let far = known(membership).filter(|m| request.lost && m.instance.zone != me.zone);
        let far: Vec<InstanceId> = far.map(|m| m.instance.id.clone()).collect();
        let reader = match request.lost {
            true => ZoneReaders::choose_other(&me.id, &near, &far, request.attempt),
            false => ZoneReaders::choose(&me.id, &near, request.attempt),
        };
        let Some(member) = reader.and_then(|id| membership.peers().get(id)) else {
            let _ = reply.try_send(None);
            return;
        };
        match self.connect(&member.latest.instance) {
            Some(call) => drop(tokio::spawn(call.changes(request, reply))),
            None => drop(reply.try_send(Some(Err(())))),
        }
    }

    /// Returns a call to a reader, or logs why there is none.
    fn connect(&mut self, reader: &Instance) -> Option<PeerCall> {
        let known = self.readers.iter().find(|(known, _)| known == reader);
        let channel = match known {
            Some((_, channel)) => channel.clone(),
            None => self.open(reader)?,
        };
        Some(PeerCall::new(reader.clone(), channel, self.peer.clone()))
    }

    fn open(&mut self, reader: &Instance) -> Option<Channel> {
        let channel = PeerConnections::open_long(reader).inspect_err(|e| {
            log::error!(step = e.step().as_str(), error:% = e; "cannot connect to a peer");
        });
        let channel = channel.ok()?;
        if self.readers.len() == MAX_READERS {
            self.readers.remove(0);
        }
        self.readers.push((reader.clone(), channel.clone()));
        Some(channel)
    }
}

/// Returns the peers that may live. Those that were listed and not heard yet are among them.
fn known(membership: &Membership) -> impl Iterator<Item = &MemberUpdate> {
    let peers = membership.peers().iter().map(|m| &m.latest);
    peers.filter(|m| !m.liveness.is_gone())
}
