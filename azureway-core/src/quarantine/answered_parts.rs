//! Remembers which parts of prompts were answered recently, and so do not crash servers.

use std::collections::HashMap;
use std::time::Duration;

use crate::domain::{PartKey, Timestamp};

/// The parts of prompts that were in requests which completed recently.
///
/// A part that crashes every backend server that answers it is in no answered request, so a crash
/// says nothing against the parts in this set.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    times: HashMap<PartKey, Timestamp>,
}

/// The time for which an answer clears the parts of its request. A part that begins to crash servers
/// although it was answered before, such as after a change of their software, is reported after
/// this time.
const RETENTION: Duration = Duration::from_secs(30);
/// The largest number of parts, which bounds memory.
const MAX_PARTS: usize = 8_192;

impl AnsweredParts {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with `part` was answered.
    pub fn record(&mut self, part: PartKey, now: Timestamp) {
        if self.times.len() >= MAX_PARTS && !self.times.contains_key(&part) {
            self.times.retain(|_, t| now.since(*t) < RETENTION);
            if self.times.len() >= MAX_PARTS {
                return;
            }
        }
        self.times.insert(part, now);
    }

    /// Returns whether a request with `part` was answered recently.
    pub fn contains(&self, part: &PartKey, now: Timestamp) -> bool {
        let time = self.times.get(part);
        time.is_some_and(|t| now.since(*t) < RETENTION)
    }
}
