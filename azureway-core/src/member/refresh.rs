//! When to ask for all news.

use std::time::Duration;

use crate::domain::Timestamp;

/// When to ask a peer for all news: at the start, after a pause, and when beliefs stay apart.
#[derive(Clone, Debug)]
pub struct Refresh {
    wanted: bool,
    asked: Option<Timestamp>,
    apart: u32,
}

/// The answers in a row with another sum after which beliefs count as apart: fewer may be
/// news that is still on its way.
const APART_MAX: u32 = 4;

impl Refresh {
    /// Creates the state of an instance that knows nothing.
    pub const fn new() -> Self {
        Self {
            wanted: true,
            asked: None,
            apart: 0,
        }
    }

    /// Asks for all news as soon as it may.
    pub const fn want(&mut self) {
        self.wanted = true;
        self.asked = None;
    }

    /// Notes an answer: whether it gave all news, and whether the peer believes the same.
    pub const fn note(&mut self, whole: bool, same: bool) {
        self.wanted = self.wanted && !whole;
        self.apart = if same { 0 } else { self.apart + 1 };
        if self.apart >= APART_MAX {
            self.apart = 0;
            self.wanted = true;
        }
    }

    /// Tells whether the next heartbeat asks for all news, at most once in `period`.
    pub fn ask(&mut self, period: Duration, now: Timestamp) -> bool {
        let early = self.asked.is_some_and(|t| now.since(t) < period);
        if !self.wanted || early {
            return false;
        }
        self.asked = Some(now);
        true
    }
}

impl Default for Refresh {
    fn default() -> Self {
        Self::new()
    }
}
