//! How full the rings are.

use flume::WeakSender;

use crate::admit::AdmitMessage;
use crate::decide::DecideMessage;

/// How full the rings are. Looking on does not keep a ring open.
#[derive(Clone, Debug)]
pub struct RingMonitor {
    /// To the admitting duty.
    pub admit: WeakSender<AdmitMessage>,
    /// To the deciding duty.
    pub decide: WeakSender<DecideMessage>,
}

impl RingMonitor {
    /// Returns the messages that wait in each ring, by the duty that takes them.
    pub fn depths(&self) -> [(&'static str, usize); 2] {
        [
            ("admit", self.admit.upgrade().map_or(0, |s| s.len())),
            ("decide", self.decide.upgrade().map_or(0, |s| s.len())),
        ]
    }
}
