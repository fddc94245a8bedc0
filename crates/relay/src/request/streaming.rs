//! Passes a stream on event by event, and goes on at another target if it breaks off.

use bytes::Bytes;
use http::Response;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::relay::steps::{AttemptEnd, NextStep};
use wasabipier_core::relay::targets::CallResult;

use super::{RelayRequest, RunEnd};
use crate::body::{AnswerBody, StreamCut};
use crate::clock;
use crate::state::OpenRequest;
use crate::stream::{OpenStream, StreamPart};

/// Events that may wait for a caller that reads slowly; then its target waits too.
const EVENTS_WAITING: usize = 8;
/// Time beyond the deadline for what a target sends as it stops at the deadline itself.
const PAST_DEADLINE: std::time::Duration = std::time::Duration::from_millis(150);

impl RelayRequest {
    /// Answers with a stream, which goes on at other targets if its own breaks off.
    pub(super) fn stream(mut self, stream: OpenStream, open: OpenRequest) -> Response<AnswerBody> {
        let (sender, receiver) = mpsc::channel(EVENTS_WAITING);
        let mut response = Response::new(AnswerBody::Stream(receiver));
        *response.status_mut() = stream.status;
        *response.headers_mut() = stream.headers.clone();
        self.node.port.clean_answer(response.headers_mut());
        spawn_local(async move {
            let left = clock::now().until(self.admitted.deadline) + PAST_DEADLINE;
            let pump = timeout(left, self.pump(stream, &sender));
            let reason = tokio::select! {
                reason = pump => reason.unwrap_or("deadline"),
                () = sender.closed() => "caller left",
            };
            let outcome = if reason == "answered" { "200" } else { "cut" };
            if outcome == "cut" {
                // The caller is gone, or sees by this that the stream is not whole.
                let _ = sender.try_send(Err(StreamCut));
            }
            self.log_end(outcome, reason);
            drop(open);
        });
        response
    }

    /// Passes events on until the stream ends; says how it ended.
    async fn pump(&mut self, mut stream: OpenStream, sender: &mpsc::Sender<Result<Bytes, StreamCut>>) -> &'static str {
        // The target has fetched its inputs before it made its first event.
        self.inputs = Some(Default::default());
        let kind = self.admitted.grant.route.kind;
        let pause = self.node.board.borrow().tuning.silence_timeouts.next_event_timeout(kind);
        loop {
            let is_last = self.tally.may_have_run + 1 >= self.admitted.grant.route.max_attempts;
            let reason = match stream.next(&self.node, pause.filter(|_| !is_last)).await {
                StreamPart::Events(bytes) => {
                    if sender.send(Ok(bytes)).await.is_err() {
                        return "caller left";
                    }
                    continue;
                }
                StreamPart::End => {
                    self.node.board.borrow_mut().harmful.clear_content(self.admitted.content);
                    return "answered";
                }
                StreamPart::Broken(reason) => reason,
            };
            stream.set_result(CallResult::Broken);
            let last_event = stream.last_event();
            drop(stream);
            match self.resume(last_event).await {
                Some(next) => stream = next,
                None => return reason,
            }
        }
    }

    /// Goes on with a broken stream at another target.
    async fn resume(&mut self, last_event: Option<u64>) -> Option<OpenStream> {
        let mut end = AttemptEnd::Lost;
        loop {
            if let Some(target) = self.avoid.last().cloned() {
                self.node.board.borrow_mut().record_broken_call(self.admitted.content, &target, clock::now());
            }
            match self.decide(end) {
                NextStep::Again => {}
                NextStep::Prepare => self.inputs = None,
                NextStep::Refuse | NextStep::Fail | NextStep::Relay => return None,
            }
            if self.inputs_needed() && self.prepare().await.is_err() {
                return None;
            }
            match self.attempt(last_event).await {
                Ok(RunEnd::Stream(stream)) => return Some(*stream),
                Ok(RunEnd::Whole(_)) => return None,
                Err(failed) => end = failed.end,
            }
        }
    }

    fn inputs_needed(&self) -> bool {
        let has_stages = self.head.pieces.iter().any(|pieces| *pieces > 0);
        has_stages && self.inputs.as_ref().is_none_or(|(inputs, _)| inputs.handles().is_empty())
    }
}
