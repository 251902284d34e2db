//! The rings that the peer duty reaches.

use flume::{Receiver, Sender};

use super::PeerMessage;
use crate::admit::AdmitMessage;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::meter::MetricEvent;
use crate::watch::SelectionNotifier;

/// The rings that the peer duty reaches, and its own.
#[derive(Debug)]
pub struct PeerRings {
    /// To the peer duty itself, for its connections.
    pub peer: Sender<PeerMessage>,
    /// At the peer duty.
    pub messages: Receiver<PeerMessage>,
    /// To the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// To the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// To the measuring duty.
    pub meter: Sender<MetricEvent>,
    /// To the duties of which a few entries of the zone are enough.
    pub selection: SelectionNotifier,
    /// The clock.
    pub clock: Clock,
}
