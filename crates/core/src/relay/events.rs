//! Splits a stream into events. A caller gets whole events only, so that another target can continue a broken stream
//! after the last event.

use std::ops::Range;

/// Longest byte sequence that ends an event: a line end and a blank line. Lines may end in LF or CR LF.
const MAX_TERMINATOR_BYTES: usize = 3;
/// Maximum size in bytes of an event, and of comments without an event between them. Events hold a few tokens of text.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Memory in bytes that is kept for the next event after a large one.
const MAX_IDLE_BYTES: usize = 8 * 1024;

/// A whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Identifier of the event, if it has one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
}

/// What to do with an event that a target sent, by its position in the sequence of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Forward the event to the caller.
    Forward,
    /// Drop the event: the caller already has it.
    Duplicate,
    /// Events before this one are missing. Nothing more may be forwarded.
    Gap,
    /// The lines are no event, such as the text of an error. Nothing more may be forwarded.
    Malformed,
}

/// Splits a byte stream into events and checks that their identifiers are consecutive.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Number of bytes in comments since the last event.
    comment_bytes: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller already has everything up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends received bytes and returns the events that they complete. After bytes for which [`Self::is_overfull`]
    /// returns `true`, nothing more may be pushed.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        // A terminator may span the old and the new bytes.
        let mut from = self.pending.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, from.max(start)) {
            let event = self.parse_event(start..end);
            self.comment_bytes = if is_comment(&event.bytes) { self.comment_bytes + event.bytes.len() } else { 0 };
            events.push(event);
            start = end;
            from = end;
        }
        self.pending.drain(..start);
        if self.pending.capacity() > MAX_IDLE_BYTES && self.pending.len() < MAX_IDLE_BYTES {
            self.pending.shrink_to(MAX_IDLE_BYTES);
        }
        events
    }

    /// Returns the memory in bytes that the event takes which is incomplete.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns whether the bytes since the last event exceed the maximum size, so that they are no event. A part of an
    /// event must not be forwarded: another target would continue the stream after the event before.
    #[must_use]
    pub fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES || self.comment_bytes > MAX_EVENT_BYTES
    }

    fn parse_event(&self, range: Range<usize>) -> StreamEvent {
        let bytes = self.pending[range].to_vec();
        StreamEvent { id: parse_event_id(&bytes), bytes }
    }

    /// Returns what to do with an event. `Forward` counts it as forwarded. The first event with an identifier is always
    /// forwarded, and events without one as long as none had any.
    pub fn check_sequence(&mut self, event: &StreamEvent) -> EventVerdict {
        if is_comment(&event.bytes) {
            return EventVerdict::Forward;
        }
        if !has_only_fields(&event.bytes) || (event.id.is_none() && self.last_id.is_some()) {
            return EventVerdict::Malformed;
        }
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

    /// Returns the identifier of the last event that was forwarded, or `None` if none had an identifier.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the received bytes after the last whole event.
    #[must_use]
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }
}

/// Returns the index after the first blank line whose preceding line ends at `from` or later, or `None` if there is
/// none.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().skip(from).filter(|(_, byte)| **byte == b'\n');
    line_ends.map(|(index, _)| index + 1).find_map(|next| match bytes.get(next..)? {
        [b'\n', ..] => Some(next + 1),
        [b'\r', b'\n', ..] => Some(next + 2),
        _ => None,
    })
}

/// Returns whether a block of lines holds nothing but comments, which targets send to keep a connection open.
fn is_comment(bytes: &[u8]) -> bool {
    bytes.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Names of the fields of an event. Others are ignored by receivers, and their lines may be the head of another answer.
const EVENT_FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];

/// Returns whether a block of lines holds nothing but comments and fields of events. The first line may be another field
/// with a number.
fn has_only_fields(bytes: &[u8]) -> bool {
    let lines = bytes.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.enumerate().all(|(index, line)| {
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(end) => (&line[..end], &line[end + 1..]),
            None => (line, &b""[..]),
        };
        name.is_empty() || EVENT_FIELDS.contains(&name) || (index == 0 && is_numeric_field(name, value))
    })
}

/// Returns whether a field has a name in lowercase and a number as its value.
fn is_numeric_field(name: &[u8], value: &[u8]) -> bool {
    let value = value.trim_ascii();
    let is_name = name.iter().all(|byte| byte.is_ascii_lowercase() || *byte == b'-');
    is_name && !value.is_empty() && value.iter().all(u8::is_ascii_digit)
}

/// Returns the number in the first `id:` line, or `None` if there is no such line or it has no number.
fn parse_event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
