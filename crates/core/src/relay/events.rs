//! Splits a stream into events, so that a caller gets whole events only and another target can continue the stream
//! after the last one.

use std::ops::Range;

/// Byte sequence that ends an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";
/// Maximum size of a buffered event. A longer one is forwarded in parts, and the stream can no longer be resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Identifier, if the event has one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line at its end.
    pub bytes: Vec<u8>,
}

/// What to do with an event that a target sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Forward the event to the caller.
    Forward,
    /// Drop the event: the caller already has it.
    Duplicate,
    /// Events before this one are missing. Nothing more may be forwarded.
    Gap,
}

/// Splits a byte stream into events and checks that their identifiers are consecutive.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller already has everything up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { pending: Vec::new(), last_id }
    }

    /// Appends bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        // A terminator may span the old and the new bytes.
        let mut from = self.pending.len().saturating_sub(EVENT_TERMINATOR.len() - 1);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, from.max(start)) {
            events.push(self.parse_event(start..end));
            start = end;
            from = end;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES {
            let bytes = std::mem::take(&mut self.pending);
            events.push(StreamEvent { id: None, bytes });
        }
        events
    }

    fn parse_event(&self, range: Range<usize>) -> StreamEvent {
        let bytes = self.pending[range].to_vec();
        StreamEvent { id: parse_event_id(&bytes), bytes }
    }

    /// Returns whether an event is the next one that the caller needs. If so, counts it as forwarded.
    pub fn check_sequence(&mut self, event: &StreamEvent) -> EventVerdict {
        let (Some(id), Some(last)) = (event.id, self.last_id) else {
            self.last_id = event.id.or(self.last_id);
            return EventVerdict::Forward;
        };
        if id <= last {
            return EventVerdict::Duplicate;
        }
        if id > last + 1 {
            return EventVerdict::Gap;
        }
        self.last_id = Some(id);
        EventVerdict::Forward
    }

    /// Returns the identifier of the last event that was forwarded.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the bytes after the last whole event.
    #[must_use]
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }
}

fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let window = bytes.get(from..)?;
    window
        .windows(EVENT_TERMINATOR.len())
        .position(|pair| pair == EVENT_TERMINATOR)
        .map(|at| from + at + EVENT_TERMINATOR.len())
}

fn parse_event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
