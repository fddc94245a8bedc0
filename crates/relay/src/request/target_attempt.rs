//! One attempt at one target: sends the request and reads its answer, or the first part of a stream.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use spdlog::info;
use tokio::task::spawn_local;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::suspects::{RunStage, SuspectKey};
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::attempt::{self, CallGuard, HeadVerdict, OpenAnswer};
use crate::blame;
use crate::body::AnswerBody;
use crate::buffer_memory::StreamMemory;
use crate::call_progress::CallProgress;
use crate::clock;
use crate::log_prefixes::REQUEST;
use crate::run_counter::RunGuard;
use crate::state::SharedNode;
use crate::stream::{OpenStream, StreamPart};

/// A target's answer with its complete body.
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    pub(super) fn into_response(self, node: &SharedNode) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        node.platform.remove_connection_headers(response.headers_mut());
        response
    }
}

/// The answer that a target gave: complete, or a stream that has begun.
pub(super) enum RequestAnswer {
    Whole(WholeAnswer),
    Stream(Box<OpenStream>),
}

/// An attempt that ended without an answer for the caller.
pub(super) struct FailedAttempt {
    pub(super) end: AttemptEnd,
    /// The target's error response, which is forwarded if no later attempt succeeds.
    pub(super) answer: Option<WholeAnswer>,
}

impl From<AttemptEnd> for FailedAttempt {
    fn from(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// Result of an attempt.
pub(super) type AttemptResult = Result<RequestAnswer, FailedAttempt>;

/// An attempt with all that it needs of its request, so that several attempts of a request can be open at once. Dropping
/// it closes its connection.
pub(super) struct TargetAttempt {
    pub(super) node: SharedNode,
    /// Id of the request.
    pub(super) id: Arc<str>,
    /// Content that is suspected if the target crashes.
    pub(super) keys: Vec<SuspectKey>,
    /// When the request arrived.
    pub(super) started: Moment,
    pub(super) is_stream: bool,
    /// Whether an earlier run of the request has proven its content sound.
    pub(super) is_proven: bool,
    /// Id of the last event that the caller has.
    pub(super) last_event: Option<u64>,
    pub(super) entry: TargetEntry,
    pub(super) guard: CallGuard,
    pub(super) progress: Rc<CallProgress>,
    /// Counts the request once its target may have run it.
    pub(super) run: RunGuard,
}

impl TargetAttempt {
    /// Sends the request to the target, and reads its answer or the first part of a stream.
    pub(super) async fn run(mut self, request: Request<Bytes>) -> AttemptResult {
        let answer = match attempt::send_request(&self.node, &self.entry, request, &self.progress, &self.run).await {
            Ok(answer) => answer,
            Err(end) => {
                self.run.record_end(end);
                self.guard.set_result(attempt::call_result(end, None));
                self.handle_failure(end).await;
                return Err(end.into());
            }
        };
        if let Some(cold_time) = answer.head.cold_time {
            self.node.board.borrow_mut().targets.record_cold_time(&self.entry, cold_time, clock::now());
        }
        match attempt::classify_head(answer.status, &answer.head, &self.id, answer.connection.is_reused) {
            HeadVerdict::Ended(end) => {
                self.run.record_end(end);
                self.guard.set_result(attempt::call_result(end, Some(&answer.head)));
                Err(end.into())
            }
            HeadVerdict::Failure => self.read_failure(answer).await,
            HeadVerdict::Success if self.is_stream => self.open_stream(answer).await,
            HeadVerdict::Success => self.read_success(answer).await,
        }
    }

    /// Reads the body of an error response. A server error counts as a failed attempt; any other response goes to the
    /// caller at once.
    async fn read_failure(mut self, mut answer: OpenAnswer) -> AttemptResult {
        let body = self.read_body(&mut answer).await?;
        self.guard.set_result(CallResult::Faulty);
        let is_server_fault = answer.status.is_server_error();
        let whole = WholeAnswer { status: answer.status, headers: answer.headers, body };
        self.node.pool.release(answer.connection, answer.head.idle_timeout);
        if is_server_fault {
            return Err(FailedAttempt { end: AttemptEnd::Failed, answer: Some(whole) });
        }
        self.guard.set_result(CallResult::Declined);
        Ok(RequestAnswer::Whole(whole))
    }

    async fn read_success(mut self, mut answer: OpenAnswer) -> AttemptResult {
        let took = self.guard.elapsed();
        self.guard.record_first_part();
        let body = self.read_body(&mut answer).await?;
        self.guard.set_result(CallResult::Good(took));
        self.node.pool.release(answer.connection, answer.head.idle_timeout);
        if attempt::is_framed(&answer.headers) {
            blame::handle_run(&self.node, &self.keys, self.entry.target.as_str(), RunStage::Complete);
        } else {
            let Self { node, id, keys, entry, .. } = self;
            spawn_local(async move { blame::handle_unframed_end(&node, &id, &keys, &entry).await });
        }
        Ok(RequestAnswer::Whole(WholeAnswer { status: answer.status, headers: answer.headers, body }))
    }

    /// Opens a stream and waits for its first part. A failure before that counts as a failed attempt, which another
    /// target may repeat.
    async fn open_stream(self, answer: OpenAnswer) -> AttemptResult {
        let Self { node, id, keys, started, is_proven, last_event, entry, guard, run, .. } = self;
        let memory = StreamMemory::new(&node.answer_memory);
        let mut stream = OpenStream::new(answer, entry, guard, last_event, memory);
        let part = stream.read_first_part(&node).await;
        // A target that crashes before its first event ends its connection, which looks like the end of a stream.
        let is_broken = matches!(part, StreamPart::Broken(_)) || (part == StreamPart::End && last_event.is_none());
        if is_broken {
            stream.set_result(CallResult::Broken);
            if !is_proven {
                blame::handle_broken_call(&node, &id, &keys, &stream.entry, RunStage::Waiting).await;
            }
            return Err(AttemptEnd::Lost.into());
        }
        if matches!(part, StreamPart::Events(_)) {
            run.record_first_event();
        }
        let now = clock::now();
        if node.log_limiter.allows(now) {
            let (id, after_ms) = (&*id, now.since(started).as_millis() as u64);
            info!("{REQUEST} first event.", kv: { id, target = stream.entry.target.as_str(), after_ms });
        }
        Ok(RequestAnswer::Stream(Box::new(stream)))
    }

    /// Reads the body of an answer, and blames the content if it is cut.
    async fn read_body(&mut self, answer: &mut OpenAnswer) -> Result<Bytes, AttemptEnd> {
        let body = attempt::read_body(&self.node, answer).await;
        match &body {
            Ok(_) => self.guard.record_complete(),
            Err(end) => {
                self.guard.set_result(CallResult::Broken);
                self.handle_failure(*end).await;
            }
        }
        body
    }

    /// Blames the content if the end indicates that the target may be down.
    async fn handle_failure(&self, end: AttemptEnd) {
        if end == AttemptEnd::Lost && !self.is_proven {
            blame::handle_broken_call(&self.node, &self.id, &self.keys, &self.entry, self.guard.run_stage()).await;
        }
    }
}
