//! What the operators' interface reaches of the daemon.

use azureway_core::prelude::{InstanceId, KeyHash, ZoneId};
use flume::Sender;

use crate::admit::{AdmitMessage, RequestIds};
use crate::clock::Clock;
use crate::decide::DecideMessage;

/// What the operators' interface reaches of the daemon, and what it tells of it.
#[derive(Clone, Debug)]
pub struct AdminHandles {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The digest of the operators' key, if one is asked for.
    pub operator_key: Option<KeyHash>,
    /// The admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The deciding duty.
    pub decide: Sender<DecideMessage>,
    /// Told when the daemon is to shut down.
    pub shutdown: Sender<()>,
    /// The identities of requests.
    pub ids: RequestIds,
    /// The clock.
    pub clock: Clock,
}
