//! Tests of calls to peers: what they carry, and connections that have gone silent.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::peer::{PeerCall, PeerConnections, PeerMessage, PeerService};
use azureway_entry::site::SiteKind;
use azureway_entry::zone::{ReadTimes, ZoneCache, ZoneChanges, ZoneRequest};
use azureway_wire::object::{ObjectBody, ObjectList};
use azureway_wire::peer;
use flume::{Receiver, Sender};
use googletest::prelude::*;
use tonic::transport::Channel;

fn instance(listener: &TcpListener) -> Instance {
    let address = listener.local_addr().expect("an address");
    Instance::new(InstanceId::new("peer"), ZoneId::new("a"), address)
}

fn heartbeat(from: &Instance) -> Heartbeat {
    Heartbeat {
        from: from.clone(),
        version: ConfigVersion::ZERO,
        digest: 0,
        full: false,
        updates: Vec::new(),
        demand: Vec::new(),
        zones: Vec::new(),
    }
}

/// A peer that accepts connections and says nothing, and what calls to it report.
struct SilentPeer {
    listener: TcpListener,
    instance: Instance,
    tx: Sender<PeerMessage>,
    messages: Receiver<PeerMessage>,
}

impl SilentPeer {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let instance = instance(&listener);
        let (tx, messages) = flume::bounded(8);
        Self {
            listener,
            instance,
            tx,
            messages,
        }
    }

    fn call(&self, channel: Channel) -> PeerCall {
        PeerCall::new(self.instance.clone(), channel, self.tx.clone())
    }

    /// Returns whether the next message of a call says that the connection failed.
    fn link_failed(&self) -> bool {
        let message = self.messages.try_recv();
        matches!(message, Ok(PeerMessage::LinkFailed(peer)) if peer == self.instance.id)
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = azureway_entry::runtime::create();
    runtime.expect("a runtime").block_on(future)
}

/// Guards against a request for news that goes to a reader over a dead connection again and again.
#[gtest]
fn a_reader_that_is_silent_on_a_connection_is_asked_over_a_new_one() {
    let silent = SilentPeer::new();
    let (reply, answer) = flume::bounded(1);
    let request = ZoneRequest {
        kind: SiteKind::Weights,
        era: None,
        after: 1,
        wait: Duration::from_millis(10),
        attempt: 0,
        lost: false,
    };
    block_on(async {
        let channel = PeerConnections::open_long(&silent.instance).expect("a channel");
        silent.call(channel).changes(request, reply).await;
    });
    expect_that!(answer.try_recv(), ok(some(err(eq(&())))));
    expect_that!(silent.link_failed(), eq(true));
}

/// Guards against announcements of loads that are lost on a dead connection until it is noticed otherwise.
#[gtest]
fn an_announcement_over_a_silent_connection_replaces_it() {
    let silent = SilentPeer::new();
    block_on(async {
        let channel = PeerConnections::open(&silent.instance).expect("a channel");
        let permits = Arc::new(tokio::sync::Semaphore::new(1));
        let permit = permits.acquire_owned().await.expect("a permit");
        let message = peer::Heartbeat::from(&heartbeat(&silent.instance));
        silent.call(channel).announce(message, permit).await;
    });
    expect_that!(silent.link_failed(), eq(true));
}

/// Guards against a connection that stays in use after a heartbeat succeeded only over a new one.
#[gtest]
fn a_heartbeat_that_succeeds_over_a_new_connection_replaces_the_old_one() {
    let silent = SilentPeer::new();
    let listener = silent.listener.try_clone().expect("a listener");
    let (peer_tx, peer_rx) = flume::bounded(8);
    let zone = Arc::new(ZoneCache::new(Clock::new()));
    let answer = heartbeat(&silent.instance);
    block_on(async {
        tokio::spawn(async move {
            // The first connection stays open and silent. The service takes the others.
            let accepted = tokio::task::spawn_blocking(move || (listener.accept(), listener));
            let (_first, listener) = accepted.await.expect("a connection");
            PeerService::new(peer_tx, zone).serve(listener).await;
        });
        tokio::spawn(async move {
            while let Ok(PeerMessage::Heartbeat(_, reply)) = peer_rx.recv_async().await {
                let _ = reply.try_send(answer.clone());
            }
        });
        let channel = PeerConnections::open(&silent.instance).expect("a channel");
        let message = peer::Heartbeat::from(&heartbeat(&silent.instance));
        silent.call(channel).exchange(message).await;
    });
    expect_that!(silent.link_failed(), eq(true));
    let answered = matches!(silent.messages.try_recv(), Ok(PeerMessage::Reply(_)));
    expect_that!(answered, eq(true));
}

/// Calls the reader at `instance` for changes after `after`.
async fn ask(silent: &SilentPeer, after: u64) -> Option<ZoneChanges> {
    let (reply, answer) = flume::bounded(1);
    let request = ZoneRequest {
        kind: SiteKind::Weights,
        era: None,
        after,
        wait: Duration::from_secs(1),
        attempt: 0,
        lost: false,
    };
    let channel = PeerConnections::open_long(&silent.instance).expect("a channel");
    silent.call(channel).changes(request, reply).await;
    answer.try_recv().ok()??.ok()
}

/// Guards against a time that a reader knows and its answer does not carry, and against one that it does not know
/// and that counts as now.
#[gtest]
fn an_answer_carries_when_changes_can_have_happened_if_the_reader_knows() {
    let peer = SilentPeer::new();
    let listener = peer.listener.try_clone().expect("a listener");
    let clock = Clock::new();
    let zone = Arc::new(ZoneCache::new(clock));
    let age = Duration::from_millis(300);
    let times = |age| ReadTimes {
        since: clock.now().before(age),
        until: clock.now(),
        recovered: None,
    };
    let list = |version, objects| ObjectList { version, objects };
    let weights = |version| ObjectBody {
        name: "m".to_owned(),
        version,
        value: version.to_string(),
        deleted: false,
    };
    let kind = SiteKind::Weights;
    zone.record(kind, None, None, &list(1, Vec::new()), times(age));
    for version in 2..=30 {
        let changed = list(version, vec![weights(version)]);
        zone.record(kind, None, Some(version - 1), &changed, times(age));
    }
    let (latest, oldest) = block_on(async {
        let (peer_tx, _peer_rx) = flume::bounded(1);
        tokio::spawn(PeerService::new(peer_tx, zone).serve(listener));
        (ask(&peer, 29).await, ask(&peer, 1).await)
    });
    let latest = latest.expect("the last change");
    expect_that!(latest.list.objects, len(eq(1)));
    expect_that!(latest.changed, some(ge(age)));
    let oldest = oldest.expect("all changes");
    expect_that!(oldest.list.objects, len(eq(1)));
    expect_that!(oldest.changed, none());
}
