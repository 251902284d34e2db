//! The parts of the daemon that the peer duty needs: rings, clock and selection notifier.

use std::sync::Arc;

use flume::{Receiver, Sender};

use super::PeerMessage;
use crate::admit::AdmitMessage;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::meter::MetricEvent;
use crate::watch::SelectionNotifier;
use crate::zone::ZoneCache;

/// The rings that the peer duty sends to and receives from.
#[derive(Debug)]
pub struct PeerRings {
    /// The sender to the peer duty itself, for its calls and its service.
    pub peer: Sender<PeerMessage>,
    /// The receiver of the peer duty's messages.
    pub messages: Receiver<PeerMessage>,
    /// The sender to the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The sender to the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// The sender to the measuring duty.
    pub meter: Sender<MetricEvent>,
    /// Notifies the duties that only a few selected entry instances of the zone perform.
    pub selection: SelectionNotifier,
    /// What this entry reads of the platform, from which peers are answered.
    pub zone: Arc<ZoneCache>,
    /// The clock of the daemon.
    pub clock: Clock,
}
