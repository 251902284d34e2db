//! Splitting a stream into its events.

use super::RawEvent;

/// Buffers the bytes of a stream and returns complete events. A server may stop in the middle of an
/// event, and a partial event must not reach the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    bytes: Vec<u8>,
    /// The number of bytes already returned.
    consumed: usize,
    /// The number of bytes already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Creates an empty splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.scanned -= self.consumed;
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<RawEvent<'_>> {
        let end = self.find_end()?;
        let bytes = &self.bytes[self.consumed..end];
        self.consumed = end;
        self.scanned = end;
        Some(RawEvent {
            id: parse_id(bytes),
            bytes,
        })
    }

    /// Returns the bytes of the last, incomplete event.
    pub fn remainder(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Returns the index after the blank line that ends the next event.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.max(self.consumed);
        for index in start..self.bytes.len() {
            if self.bytes[index] != b'\n' {
                continue;
            }
            let line = &self.bytes[self.consumed..index];
            let blank = line.ends_with(b"\n") || line.ends_with(b"\n\r");
            if blank {
                return Some(index + 1);
            }
        }
        self.scanned = self.bytes.len();
        None
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
