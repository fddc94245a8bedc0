//! Forwards the events of a stream to the caller as they arrive, and resumes the stream at another target if it breaks.

use http::Response;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::relay::steps::{AttemptEnd, NextStep};
use wasabipier_core::relay::suspects::RunStage;
use wasabipier_core::relay::targets::CallResult;

use super::RelayRequest;
use super::refusals::PROCESS_END;
use super::target_attempt::RequestAnswer;
use crate::blame;
use crate::body::{AnswerBody, BodyPart};
use crate::clock;
use crate::metering;
use crate::state::OpenRequest;
use crate::stream::{OpenStream, StreamPart};

/// Maximum number of parts of the stream that are buffered for a slow caller. When the buffer is full, nothing more is
/// read from the target.
const MAX_BUFFERED_PARTS: usize = 8;
/// Time after the deadline in which the last events are still forwarded: a target that stops at the deadline by itself
/// sends them then.
const DEADLINE_GRACE: std::time::Duration = std::time::Duration::from_millis(150);
/// Maximum time for which an answered stream counts as open until its caller has taken the last parts. It is short, so
/// that callers who read slowly hardly change how long streams seem to take.
const FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(150);

/// What happened first after a silent stream was also resumed at another target.
enum StreamRace {
    /// The silent stream went on, or broke.
    Continued(StreamPart),
    /// Another target has resumed the stream, or none can.
    Resumed(Option<Box<OpenStream>>),
    /// Both targets have been working for as long as they may.
    OverlapEnded,
}

impl RelayRequest {
    /// Returns a streaming response. A task forwards the events and resumes the stream at other targets if it breaks.
    pub(super) fn into_stream_response(mut self, stream: OpenStream, mut open: OpenRequest) -> Response<AnswerBody> {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        let mut response = Response::new(AnswerBody::Stream(receiver));
        *response.status_mut() = stream.status;
        *response.headers_mut() = stream.headers.clone();
        self.node.platform.remove_connection_headers(response.headers_mut());
        let node = self.node.clone();
        spawn_local(async move {
            let left = clock::now().until(self.admitted.deadline) + DEADLINE_GRACE;
            let forwarding = timeout(left, self.forward_events(stream, &sender));
            let reason = tokio::select! {
                biased;
                reason = forwarding => reason.unwrap_or("deadline"),
                () = sender.closed() => "caller left",
                () = node.wait_for_process_end() => PROCESS_END,
            };
            if reason == PROCESS_END {
                node.cut_streams.set(node.cut_streams.get() + 1);
                metering::record_cut_stream(&self.admitted.grant.route.name);
            }
            let outcome = if reason == "answered" { "200" } else { "cut" };
            if reason == "answered" {
                open.set_answered();
            }
            self.record_end(outcome, reason);
            if reason == "answered" {
                // The process does not end before the last parts have left the buffer, unless their caller is slow.
                let _ = timeout(FLUSH_TIMEOUT, sender.closed()).await;
            }
            drop(open);
        });
        response
    }

    /// Forwards events until the stream ends, and returns the reason for the end as it is logged.
    async fn forward_events(&mut self, mut stream: OpenStream, sender: &mpsc::Sender<BodyPart>) -> &'static str {
        // The inputs are no longer needed: the target has fetched them before it sent its first event.
        self.inputs = Some(Default::default());
        let (retry_policy, objective) = (self.admitted.grant.route.retry_policy, self.admitted.grant.route.objective);
        let event_timeout =
            self.node.board.borrow().tuning.silence_timeouts.next_event_timeout(retry_policy, objective);
        let mut ready_part = None;
        loop {
            let is_last = self.tally.may_have_run_count + 1 >= self.admitted.grant.route.max_attempts;
            let part = match ready_part.take() {
                Some(part) => part,
                None => stream.next_part(&self.node, event_timeout.filter(|_| !is_last)).await,
            };
            let reason = match part {
                StreamPart::Events(bytes) => {
                    self.record_run(&stream, stream.run_stage());
                    if sender.send(BodyPart::Data(bytes)).await.is_err() {
                        return "caller left";
                    }
                    continue;
                }
                StreamPart::End => {
                    let is_sent = sender.send(BodyPart::End).await.is_ok();
                    self.record_end_of_run(&stream);
                    return if is_sent { "answered" } else { "caller left" };
                }
                StreamPart::Silent => match self.wait_for_silent_stream(stream).await {
                    Some((next, part)) => {
                        (stream, ready_part) = (next, part);
                        continue;
                    }
                    None => return "silent",
                },
                StreamPart::Broken(reason) => reason,
            };
            stream.set_result(CallResult::Broken);
            let (last_event, entry, run) = (stream.last_event(), stream.entry.clone(), stream.run_stage());
            drop(stream);
            if !self.is_proven {
                blame::handle_broken_call(&self.node, &self.head.request, &self.admitted.keys, &entry, run).await;
            }
            match self.resume_stream(last_event).await {
                Some(next) => stream = *next,
                None => return reason,
            }
        }
    }

    /// Waits for a stream that is silent and, if a retry is allowed, also resumes it at another target. Whichever sends
    /// its next part first goes on, and the other is closed. Returns the stream that goes on, with its next part if that
    /// was read, or `None` if there is none.
    async fn wait_for_silent_stream(&mut self, mut stream: OpenStream) -> Option<(OpenStream, Option<StreamPart>)> {
        if self.decide_on_silence(&stream.entry.target) != NextStep::Again {
            let part = stream.next_part(&self.node, None).await;
            return Some((stream, Some(part)));
        }
        let retry_policy = self.admitted.grant.route.retry_policy;
        let max_overlap =
            self.node.board.borrow().tuning.silence_timeouts.max_overlap(retry_policy).unwrap_or_default();
        let (node, progress, last_event) = (self.node.clone(), self.progress.clone(), stream.last_event());
        let (id, keys, is_proven) = (self.head.request.clone(), self.admitted.keys.clone(), self.is_proven);
        progress.record_end();
        // From here on, it tells whether the resumption has an attempt.
        self.has_attempt_in_flight = false;
        let mut resumed = Box::pin(self.try_resume(last_event));
        let race = tokio::select! {
            biased;
            part = stream.next_part(&node, None) => StreamRace::Continued(part),
            resumed = &mut resumed => StreamRace::Resumed(resumed),
            () = progress.wait_after_send(max_overlap) => StreamRace::OverlapEnded,
        };
        let next = match race {
            StreamRace::Continued(part) if !matches!(part, StreamPart::Broken(_)) => {
                drop(resumed);
                self.cancel_resumption();
                return Some((stream, Some(part)));
            }
            StreamRace::Continued(_) => {
                stream.set_result(CallResult::Broken);
                let (entry, run) = (stream.entry.clone(), stream.run_stage());
                drop(stream);
                if !is_proven {
                    spawn_local(async move { blame::handle_broken_call(&node, &id, &keys, &entry, run).await });
                }
                (&mut resumed).await
            }
            StreamRace::OverlapEnded => {
                stream.set_result(CallResult::Unknown);
                drop(stream);
                (&mut resumed).await
            }
            StreamRace::Resumed(Some(next)) => {
                stream.set_result(CallResult::Unknown);
                Some(next)
            }
            StreamRace::Resumed(None) => {
                drop(resumed);
                self.tally.open_count = 0;
                let part = stream.next_part(&node, None).await;
                return Some((stream, Some(part)));
            }
        };
        drop(resumed);
        self.tally.record_abandoned(1);
        next.map(|next| (*next, None))
    }

    /// Exonerates the content if the run of `stream`, which has come to the stage `run`, proves it sound.
    fn record_run(&mut self, stream: &OpenStream, run: RunStage) {
        if !self.is_proven {
            self.is_proven = blame::handle_run(&self.node, &self.admitted.keys, stream.entry.target.as_str(), run);
        }
    }

    /// Exonerates the content of a stream that has ended, unless it is the target that ended.
    fn record_end_of_run(&mut self, stream: &OpenStream) {
        match stream.run_stage() {
            // The target had nothing to add to what an earlier run had sent.
            RunStage::Waiting => {}
            _ if !stream.is_ended_by_connection() => self.record_run(stream, RunStage::Complete),
            _ => {
                let (node, id) = (self.node.clone(), self.head.request.clone());
                let (keys, entry) = (self.admitted.keys.clone(), stream.entry.clone());
                spawn_local(async move { blame::handle_unframed_end(&node, &id, &keys, &entry).await });
            }
        }
    }

    /// Counts the attempt of a resumption that is not needed any more, since the silent stream goes on.
    fn cancel_resumption(&mut self) {
        self.tally.open_count = 0;
        if self.has_attempt_in_flight {
            self.tally.record_abandoned(1);
        }
        self.has_attempt_in_flight = false;
        self.inputs = Some(Default::default());
    }

    /// Resumes a broken stream at another target, after `last_event`. Returns `None` if no target can resume it.
    async fn resume_stream(&mut self, last_event: Option<u64>) -> Option<Box<OpenStream>> {
        if !self.prepare_next_attempt(AttemptEnd::Lost) {
            return None;
        }
        self.try_resume(last_event).await
    }

    /// Sends the request to targets until one resumes the stream after `last_event`. Returns `None` if none can.
    async fn try_resume(&mut self, last_event: Option<u64>) -> Option<Box<OpenStream>> {
        loop {
            if self.needs_inputs() && self.prepare_inputs().await.is_err() {
                return None;
            }
            match self.try_target(last_event).await {
                Ok(RequestAnswer::Stream(stream)) => return Some(stream),
                Err(failed) if self.prepare_next_attempt(failed.end) => {}
                Ok(RequestAnswer::Whole(_)) | Err(_) => return None,
            }
        }
    }

    /// Counts a failed attempt. Returns whether another one is to follow.
    fn prepare_next_attempt(&mut self, end: AttemptEnd) -> bool {
        match self.decide_next_step(end) {
            NextStep::Again => true,
            NextStep::Prepare => {
                self.inputs = None;
                true
            }
            NextStep::Refuse | NextStep::Fail | NextStep::Relay | NextStep::Wait => false,
        }
    }

    /// Returns whether the request has preparation stages and holds none of their results.
    fn needs_inputs(&self) -> bool {
        let has_stages = self.head.pieces.iter().any(|pieces| *pieces > 0);
        has_stages && self.inputs.as_ref().is_none_or(|(inputs, _)| inputs.handles().is_empty())
    }
}
