//! Queue depths of the rings, for the metrics.

use flume::WeakSender;

use crate::admit::AdmitMessage;
use crate::decide::DecideMessage;

/// A view of the rings' depths. Its weak senders do not keep a ring open.
#[derive(Clone, Debug)]
pub struct RingMonitor {
    /// The ring of the admitting duty.
    pub admit: WeakSender<AdmitMessage>,
    /// The ring of the deciding duty.
    pub decide: WeakSender<DecideMessage>,
}

impl RingMonitor {
    /// Returns the number of messages that wait in each ring, by the receiving duty.
    pub fn depths(&self) -> [(&'static str, usize); 2] {
        [
            ("admit", self.admit.upgrade().map_or(0, |s| s.len())),
            ("decide", self.decide.upgrade().map_or(0, |s| s.len())),
        ]
    }
}
