//! The parts that [`Entry`](super::Entry) and [`Gateway`](super::Gateway) share.

use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use azureway_config::settings::EntrySettings;
use azureway_core::prelude::*;
use azureway_objects::{HttpObjects, ObjectCodec};
use azureway_wire::instance::{InstanceBody, InstanceRole};

use super::{Rings, spawn};
use crate::peer::PeerDuty;
use crate::quarantine::{QuarantineClient, QuarantineWriter};
use crate::runtime;
use crate::watch::{Registrar, SelectionNotifier};
use crate::zone::ZoneLink;

/// The capacity of the ring to the duty that stores quarantined parts. Parts that crash servers are
/// few, and during an outage of the platform they wait there.
const QUARANTINE_RING: usize = 64;

/// Starts the peer duty, which exchanges heartbeats with the other entry instances.
pub(super) fn spawn_peer(
    settings: &EntrySettings,
    rings: &Rings,
    listener: TcpListener,
    process_id: u64,
) -> Result<JoinHandle<()>, Error> {
    const STEP: Step = Step::new("listen to peers");
    let address = listener.local_addr();
    let address = address.map_err(|e| Error::new(ErrorKind::System, STEP, e))?;
    let start = SystemTime::now().duration_since(UNIX_EPOCH);
    let start = start.unwrap_or_default().as_micros();
    let incarnation = Incarnation::new(u64::try_from(start).unwrap_or(u64::MAX));
    let me = Instance::new(settings.instance.clone(), settings.zone.clone(), address);
    let me = me.with_incarnation(incarnation);
    let selection = SelectionNotifier::new(me.id.clone(), rings.watch.clone(), rings.order.clone());
    let site = settings.site.as_ref();
    let site = site.filter(|s| ZoneLink::relays(s.change_limit));
    let zones = site.map_or(0, |s| s.zones.len());
    let selection = selection.with_zones(zones);
    let now = rings.clock.now();
    let membership = Membership::new(
        MembershipConfig::new(),
        me,
        &settings.peers,
        process_id,
        now,
    );
    let (runtime, duty) = (
        runtime::create()?,
        PeerDuty::new(membership, rings.peers(selection)),
    );
    spawn("peer", move || duty.run(&runtime, listener))
}

/// Starts the duty that stores quarantined parts at the platform, and returns its client.
pub(super) fn spawn_quarantine_writer<F: ObjectCodec + Send + 'static>(
    api: &HttpObjects<F>,
    process_id: u64,
) -> Result<QuarantineClient, Error> {
    let (changes_tx, changes_rx) = flume::bounded(QUARANTINE_RING);
    let writer = QuarantineWriter::new(api.clone(), changes_rx, process_id);
    spawn("quarantine", move || writer.run())?;
    Ok(QuarantineClient::new().with_ring(changes_tx))
}

/// Starts the duty that registers this instance at the platform.
pub(super) fn spawn_registrar<F: ObjectCodec + Send + 'static>(
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

/// Returns a number that differs between processes. It makes request IDs and lease records unique
/// to this process.
pub(super) fn process_id(settings: &EntrySettings) -> u64 {
    let start = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let seed = PrefixKey::new(start.as_nanos());
    Rendezvous::new(seed).weight(&ServerId::new(settings.instance.as_str()))
}
