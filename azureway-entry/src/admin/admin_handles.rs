//! The parts of the daemon that the operators' interface needs: identity, key and rings.

use azureway_core::prelude::{InstanceId, KeyHash, ZoneId};
use flume::Sender;

use crate::admit::{AdmitMessage, RequestIds};
use crate::clock::Clock;
use crate::decide::DecideMessage;

/// The handles of the operators' interface to the daemon, and the daemon's identity.
#[derive(Clone, Debug)]
pub struct AdminHandles {
    /// The ID of the entry instance.
    pub instance: InstanceId,
    /// The availability zone of the entry instance.
    pub zone: ZoneId,
    /// The digest of the operators' key, if one is required.
    pub operator_key: Option<KeyHash>,
    /// The sender to the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The sender to the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// Signalled when an operator wants the daemon to shut down.
    pub shutdown: Sender<()>,
    /// The generator of request IDs.
    pub ids: RequestIds,
    /// The clock of the daemon.
    pub clock: Clock,
}
