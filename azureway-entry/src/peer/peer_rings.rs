//! The rings that the peer duty reaches.

use flume::{Receiver, Sender};

use super::PeerNote;
use crate::admit::AdmitNote;
use crate::clock::Clock;
use crate::decide::DecideNote;
use crate::meter::Measure;
use crate::watch::ChoiceDesk;

/// The rings that the peer duty reaches, and its own.
#[derive(Debug)]
pub struct PeerRings {
    /// To the peer duty itself, for its connections.
    pub peer: Sender<PeerNote>,
    /// At the peer duty.
    pub notes: Receiver<PeerNote>,
    /// To the admitting duty.
    pub admit: Sender<AdmitNote>,
    /// To the deciding duty.
    pub decide: Sender<DecideNote>,
    /// To the measuring duty.
    pub meter: Sender<Measure>,
    /// To the duties of which a few entries of the zone are enough.
    pub desk: ChoiceDesk,
    /// The clock.
    pub clock: Clock,
}
