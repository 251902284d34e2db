//! Telling the events of a stream apart.

use super::RawEvent;

/// Gathers the bytes of a stream and hands out whole events. A server may break off in the
/// middle of an event, and half an event must not reach the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    bytes: Vec<u8>,
    /// The bytes that were handed out.
    done: usize,
    /// The bytes in which no end of an event was found.
    seen: usize,
}

impl EventSplitter {
    /// Creates a splitter without bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.done);
        self.seen -= self.done;
        self.done = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent<'_>> {
        let end = self.end()?;
        let bytes = &self.bytes[self.done..end];
        self.done = end;
        self.seen = end;
        Some(RawEvent {
            id: id_of(bytes),
            bytes,
        })
    }

    /// Returns the bytes of an event that has no end yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.done..]
    }

    /// Returns the end of the first event: after a line break that follows a line break.
    fn end(&mut self) -> Option<usize> {
        let start = self.seen.max(self.done);
        for place in start..self.bytes.len() {
            if self.bytes[place] != b'\n' {
                continue;
            }
            let line = &self.bytes[self.done..place];
            let blank = line.ends_with(b"\n") || line.ends_with(b"\n\r");
            if blank {
                return Some(place + 1);
            }
        }
        self.seen = self.bytes.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
