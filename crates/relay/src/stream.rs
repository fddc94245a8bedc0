//! Reads a stream of events from a target, and checks that no event is missing.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout};
use wasabipier_core::relay::events::{EventSplitter, EventVerdict, StreamEvent};
use wasabipier_core::relay::suspects::RunStage;
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::attempt::{CallGuard, OpenAnswer, is_framed};
use crate::buffer_memory::{HeldBytes, StreamMemory};
use crate::state::SharedNode;

/// The next part of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// One or more complete events, to be forwarded.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// No data arrived in time. The stream may go on.
    Silent,
    /// The stream broke or skipped events. The text is the reason for the log.
    Broken(&'static str),
}

/// A stream that is being read from a target.
pub struct OpenStream {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// HTTP headers of the answer.
    pub headers: HeaderMap,
    /// Target that sends the stream.
    pub entry: TargetEntry,
    answer: Option<OpenAnswer>,
    guard: CallGuard,
    splitter: EventSplitter,
    pending_events: VecDeque<StreamEvent>,
    has_received_data: bool,
    /// Whether only the end of its connection ends the stream.
    is_ended_by_connection: bool,
    memory: StreamMemory,
    /// What the event takes that is incomplete.
    pending_bytes: HeldBytes,
    /// The first part, read ahead by [`Self::read_first_part`].
    first_part: Option<Bytes>,
}

impl OpenStream {
    /// Creates a stream from an answer. Events up to `last_event`, which the caller already has, are skipped. What the
    /// stream holds counts in `memory`.
    #[must_use]
    pub fn new(
        mut answer: OpenAnswer,
        entry: TargetEntry,
        guard: CallGuard,
        last_event: Option<u64>,
        memory: StreamMemory,
    ) -> Self {
        let headers = std::mem::take(&mut answer.headers);
        Self {
            status: answer.status,
            is_ended_by_connection: !is_framed(&headers),
            headers,
            entry,
            answer: Some(answer),
            guard,
            splitter: EventSplitter::after(last_event),
            pending_events: VecDeque::new(),
            has_received_data: false,
            pending_bytes: memory.hold(0),
            memory,
            first_part: None,
        }
    }

    /// Returns the id of the last event that was returned, or that the caller had before.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns how far the stream has come, if it has not ended.
    #[must_use]
    pub fn run_stage(&self) -> RunStage {
        self.guard.run_stage()
    }

    /// Returns whether only the end of its connection ends the stream.
    #[must_use]
    pub fn is_ended_by_connection(&self) -> bool {
        self.is_ended_by_connection
    }

    /// Sets the result of the call to the target. The last result set before the drop is recorded.
    pub fn set_result(&mut self, result: CallResult) {
        self.guard.set_result(result);
    }

    /// Waits for the first part and keeps its events: the next call of [`Self::next_part`] returns them. If events
    /// arrived, the returned `Events` holds no bytes.
    pub async fn read_first_part(&mut self, node: &SharedNode) -> StreamPart {
        match self.next_part(node, None).await {
            StreamPart::Events(bytes) => {
                self.first_part = Some(bytes);
                StreamPart::Events(Bytes::new())
            }
            other => other,
        }
    }

    /// Returns the next part, or `Silent` if the target sends no whole event within `part_timeout`; `None` means no limit. The
    /// time for which the caller leaves no room does not count. No data is lost if the future is dropped before it is ready.
    pub async fn next_part(&mut self, node: &SharedNode, part_timeout: Option<Duration>) -> StreamPart {
        let part = self.wait_for_part(node, part_timeout).await;
        if let StreamPart::Broken(reason) = part {
            self.guard.record_fault(reason);
        }
        part
    }

    async fn wait_for_part(&mut self, node: &SharedNode, part_timeout: Option<Duration>) -> StreamPart {
        if let Some(bytes) = self.first_part.take() {
            return StreamPart::Events(bytes);
        }
        let mut waited = Duration::ZERO;
        loop {
            if let Some(part) = self.take_ready_events() {
                return part;
            }
            if self.splitter.is_overfull() {
                return StreamPart::Broken("event too large");
            }
            if self.memory.is_exceeded() {
                return StreamPart::Broken("streams fill the memory");
            }
            self.memory.wait_for_room().await;
            let Some(answer) = &mut self.answer else { return StreamPart::End };
            let frame = answer.body.frame();
            let waits_since = Instant::now();
            let frame = match part_timeout {
                Some(part_timeout) => timeout(part_timeout.saturating_sub(waited), frame).await,
                None => Ok(frame.await),
            };
            waited += waits_since.elapsed();
            match frame {
                Err(_) => return StreamPart::Silent,
                Ok(Some(Err(_))) => return StreamPart::Broken("connection broke"),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.push_data(&data);
                    }
                }
                Ok(None) => return self.finish(node),
            }
        }
    }

    fn push_data(&mut self, data: &[u8]) {
        let events = self.splitter.push(data);
        self.pending_bytes.resize(self.splitter.held_bytes());
        if std::mem::replace(&mut self.has_received_data, true) {
            self.guard.record_later_events(events.len());
        } else {
            self.guard.record_first_part();
            let elapsed = self.guard.elapsed();
            self.guard.set_result(CallResult::Good(elapsed));
        }
        self.pending_events.extend(events);
    }

    /// Returns the received events up to the first gap in their ids, `Broken` if a gap comes first, or `None` if there
    /// is nothing to forward yet.
    fn take_ready_events(&mut self) -> Option<StreamPart> {
        let mut bytes = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            match self.splitter.check_sequence(&event) {
                EventVerdict::Forward => bytes.extend_from_slice(&event.bytes),
                EventVerdict::Duplicate => {}
                EventVerdict::Gap if bytes.is_empty() => return Some(StreamPart::Broken("events are missing")),
                EventVerdict::Malformed if bytes.is_empty() => return Some(StreamPart::Broken("not an event")),
                EventVerdict::Gap | EventVerdict::Malformed => {
                    self.pending_events.push_front(event);
                    break;
                }
            }
        }
        (!bytes.is_empty()).then(|| StreamPart::Events(self.memory.hold_part(bytes)))
    }

    fn finish(&mut self, node: &SharedNode) -> StreamPart {
        if !self.splitter.take_rest().is_empty() {
            return StreamPart::Broken("ended within an event");
        }
        if !self.has_received_data && self.is_ended_by_connection {
            // A target that ends before its first event looks like one that has nothing to add.
            return StreamPart::Broken("ended without an event");
        }
        self.guard.record_complete();
        if let Some(answer) = self.answer.take() {
            node.pool.release(answer.connection, answer.head.idle_timeout);
        }
        StreamPart::End
    }
}
