//! Splits a stream into events, so that only whole events reach a caller and another target can go on
//! after the last one.

use std::ops::Range;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Longest event that is waited for; a longer one is passed on in parts and the stream cannot be resumed.
const LONGEST_EVENT: usize = 256 * 1024;

/// A whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes with the blank line at its end.
    pub bytes: Vec<u8>,
}

/// What to do with an event of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Pass it on.
    Forward,
    /// The caller has it already.
    Repeat,
    /// Events before it are missing; nothing more may be passed on.
    Gap,
}

/// Gathers bytes into events and watches that ids grow by one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A stream of which the caller already has everything up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { pending: Vec::new(), last_id }
    }

    /// Takes bytes in and gives back the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        // An end may straddle the old and the new bytes.
        let mut from = self.pending.len().saturating_sub(EVENT_END.len() - 1);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_end(&self.pending, from.max(start)) {
            events.push(self.event(start..end));
            start = end;
            from = end;
        }
        self.pending.drain(..start);
        if self.pending.len() > LONGEST_EVENT {
            let bytes = std::mem::take(&mut self.pending);
            events.push(StreamEvent { id: None, bytes });
        }
        events
    }

    fn event(&self, range: Range<usize>) -> StreamEvent {
        let bytes = self.pending[range].to_vec();
        StreamEvent { id: event_id(&bytes), bytes }
    }

    /// Whether an event follows on what the caller has; one that does is counted as passed on.
    pub fn judge(&mut self, event: &StreamEvent) -> EventVerdict {
        let (Some(id), Some(last)) = (event.id, self.last_id) else {
            self.last_id = event.id.or(self.last_id);
            return EventVerdict::Forward;
        };
        if id <= last {
            return EventVerdict::Repeat;
        }
        if id > last + 1 {
            return EventVerdict::Gap;
        }
        self.last_id = Some(id);
        EventVerdict::Forward
    }

    /// Id of the last event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event.
    #[must_use]
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }
}

fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let window = bytes.get(from..)?;
    window.windows(EVENT_END.len()).position(|pair| pair == EVENT_END).map(|at| from + at + EVENT_END.len())
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
