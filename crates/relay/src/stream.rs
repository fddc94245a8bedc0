//! A stream of events from a target, read event by event.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout;
use wasabipier_core::relay::events::{EventSplitter, EventVerdict, StreamEvent};
use wasabipier_core::relay::targets::CallResult;

use crate::attempt::{CallGuard, OpenAnswer};
use crate::state::SharedNode;

/// What comes next of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes to pass on: whole events.
    Events(Bytes),
    /// The stream is whole.
    End,
    /// It broke off, or brought something that does not follow on what came before.
    Broken(&'static str),
}

/// A stream being read.
pub struct OpenStream {
    /// Status of its answer.
    pub status: StatusCode,
    /// Headers of its answer.
    pub headers: HeaderMap,
    answer: Option<OpenAnswer>,
    guard: CallGuard,
    splitter: EventSplitter,
    ready: VecDeque<StreamEvent>,
    has_begun: bool,
    first: Option<Bytes>,
}

impl OpenStream {
    /// Begins to read; the caller has everything up to `last_event`.
    #[must_use]
    pub fn new(mut answer: OpenAnswer, guard: CallGuard, last_event: Option<u64>) -> Self {
        let headers = std::mem::take(&mut answer.headers);
        Self {
            status: answer.status,
            headers,
            answer: Some(answer),
            guard,
            splitter: EventSplitter::after(last_event),
            ready: VecDeque::new(),
            has_begun: false,
            first: None,
        }
    }

    /// Id of the last event that was handed out.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Says how the call went.
    pub fn set_result(&mut self, result: CallResult) {
        self.guard.set_result(result);
    }

    /// Waits until there is a first part, which [`Self::next`] hands out.
    pub async fn begin(&mut self, node: &SharedNode, pause: Option<Duration>) -> StreamPart {
        match self.next(node, pause).await {
            StreamPart::Events(bytes) => {
                self.first = Some(bytes);
                StreamPart::Events(Bytes::new())
            }
            other => other,
        }
    }

    /// The next part; a pause longer than `pause` counts as broken.
    pub async fn next(&mut self, node: &SharedNode, pause: Option<Duration>) -> StreamPart {
        if let Some(bytes) = self.first.take() {
            return StreamPart::Events(bytes);
        }
        loop {
            if let Some(part) = self.take_ready() {
                return part;
            }
            let Some(answer) = &mut self.answer else { return StreamPart::End };
            let frame = answer.body.frame();
            let frame = match pause {
                Some(pause) => timeout(pause, frame).await,
                None => Ok(frame.await),
            };
            match frame {
                Err(_) => return StreamPart::Broken("silent"),
                Ok(Some(Err(_))) => return StreamPart::Broken("connection broke"),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.take_in(&data);
                    }
                }
                Ok(None) => return self.end(node),
            }
        }
    }

    fn take_in(&mut self, data: &[u8]) {
        if !self.has_begun {
            self.has_begun = true;
            self.guard.answered();
            let took = self.guard.took();
            self.guard.set_result(CallResult::Good(took));
        }
        let events = self.splitter.push(data);
        self.ready.extend(events);
    }

    fn take_ready(&mut self) -> Option<StreamPart> {
        let mut bytes = Vec::new();
        while let Some(event) = self.ready.pop_front() {
            match self.splitter.check_sequence(&event) {
                EventVerdict::Forward => bytes.extend_from_slice(&event.bytes),
                EventVerdict::Duplicate => {}
                EventVerdict::Gap if bytes.is_empty() => return Some(StreamPart::Broken("events are missing")),
                EventVerdict::Gap => {
                    self.ready.push_front(event);
                    break;
                }
            }
        }
        (!bytes.is_empty()).then(|| StreamPart::Events(Bytes::from(bytes)))
    }

    fn end(&mut self, node: &SharedNode) -> StreamPart {
        if !self.splitter.take_rest().is_empty() {
            return StreamPart::Broken("ended within an event");
        }
        if let Some(answer) = self.answer.take() {
            node.pool.give_back(answer.lease, answer.head.idle_for);
        }
        StreamPart::End
    }
}
