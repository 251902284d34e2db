//! What a replay counts.

use std::collections::BTreeMap;

use azureway_core::prelude::RequestKind;

use super::{Promises, RequestLog};

/// What a replay counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// What became of each request, by its sequence number.
    pub stories: BTreeMap<u64, RequestLog>,
    /// The promises that were broken.
    pub promises: Promises,
    /// The prompt tokens of the tries that began.
    pub prompt: u64,
    /// The prompt tokens of these that were found in a cache.
    pub cached: u64,
    /// The prompt tokens that were computed while another engine held them.
    pub wasted: u64,
    /// The bytes that went to and came from another region.
    pub crossed: u64,
    /// The engines that crashed by a request.
    pub poisoned: u64,
    /// The news that was lost on its way.
    pub lost: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a try of a request.
    pub fn count_try(&mut self, sequence: u64) {
        if let Some(story) = self.story(sequence) {
            story.tries += 1;
        }
    }

    /// Counts a run of a request at an engine.
    pub fn count_run(&mut self, sequence: u64) {
        if let Some(story) = self.stories.get_mut(&sequence) {
            story.runs += 1;
            let once = story.kind.calls() == RequestKind::AtMostOnce;
            self.promises.doubled += u64::from(once && story.runs > 1);
        }
    }

    /// Counts the requests that got neither an answer nor a refusal, at the end.
    pub fn close(&mut self) {
        let stories = self.stories.values();
        self.promises.unanswered += stories.filter(|s| !s.is_answered()).count() as u64;
    }

    /// Adds the counts of another replay.
    pub fn merge(&mut self, other: Self) {
        let first = self
            .stories
            .last_key_value()
            .map_or(0, |(last, _)| last + 1);
        let stories = other.stories.into_iter();
        self.stories
            .extend(stories.map(|(number, s)| (first + number, s)));
        self.promises.merge(&other.promises);
        self.prompt += other.prompt;
        self.cached += other.cached;
        self.wasted += other.wasted;
        self.crossed += other.crossed;
        self.poisoned += other.poisoned;
        self.lost += other.lost;
    }

    /// Returns what became of a request.
    pub fn story(&mut self, sequence: u64) -> Option<&mut RequestLog> {
        self.stories.get_mut(&sequence)
    }
}
