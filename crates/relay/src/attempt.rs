//! One call to one target, up to the head of its answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use spdlog::info;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::clock;
use crate::metering;
use crate::part::TARGETS;
use crate::pool::PoolLease;
use crate::ports::{AnswerHead, RunClaim};
use crate::state::SharedNode;

/// Most bytes of an answer that is passed on whole.
const MOST_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Counts a call at its target while it lives, and says there how it went.
pub struct CallGuard {
    node: SharedNode,
    target: TargetName,
    service: String,
    tokens: u32,
    started: Moment,
    result: CallResult,
}

impl CallGuard {
    /// Starts to count; `tokens` are those of the prompt that the target reads first.
    #[must_use]
    pub fn new(node: &SharedNode, entry: &TargetEntry, tokens: u32) -> Self {
        let started = clock::now();
        node.board.borrow_mut().targets.start_call(&entry.target, tokens, started);
        let (target, service) = (entry.target.clone(), entry.service.to_string());
        Self { node: node.clone(), target, service, tokens, started, result: CallResult::Unknown }
    }

    /// Notes that the first part of the answer came.
    pub fn answered(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        self.node.board.borrow_mut().targets.record_prompt_processed(&self.target, tokens);
    }

    /// Says how the call went; the last word counts.
    pub fn set_result(&mut self, result: CallResult) {
        self.result = result;
    }

    /// Time since the call began.
    #[must_use]
    pub fn took(&self) -> Duration {
        clock::now().since(self.started)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = clock::now();
        let mut board = self.node.board.borrow_mut();
        board.targets.record_prompt_processed(&self.target, self.tokens);
        board.targets.end_call(&self.target, self.result, now);
        drop(board);
        if matches!(self.result, CallResult::Broken | CallResult::Replaced) {
            self.node.pool.forget(&self.target);
        }
        let outcome = match self.result {
            CallResult::Good(_) => "good",
            CallResult::Faulty => "faulty",
            CallResult::Full => "full",
            CallResult::Broken => "broken",
            CallResult::Unreachable => "unreachable",
            CallResult::Replaced => "replaced",
            CallResult::Unknown => "unknown",
        };
        metering::call_ended(&self.service, outcome, now.since(self.started));
        if !matches!(self.result, CallResult::Good(_) | CallResult::Unknown) && self.node.pace.admits(now) {
            let (target, took) = (&self.target, now.since(self.started).as_millis());
            info!("{TARGETS} a call ended badly.", kv: { target = target.as_str(), outcome, took_ms = took as u64 });
        }
    }
}

/// The head of an answer, with what is needed to read on.
pub struct OpenAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the head says.
    pub head: AnswerHead,
    /// The body.
    pub body: Incoming,
    /// Its connection.
    pub lease: PoolLease,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// `NotSent` if no byte of it can have left, else `Lost`.
pub async fn exchange(
    node: &SharedNode,
    entry: &TargetEntry,
    request: Request<Bytes>,
    fresh: bool,
) -> Result<OpenAnswer, AttemptEnd> {
    let within = node.times.connect_within;
    let mut request = request.map(Full::new);
    let mut fresh = fresh;
    loop {
        let lease = node.pool.take(entry, within, fresh).await;
        let mut lease = lease.map_err(|_| AttemptEnd::NotSent)?;
        match lease.sender.try_send_request(request).await {
            Ok(response) => return Ok(open(node, response, lease)),
            Err(mut error) => match error.take_message() {
                // The target had closed a kept connection; a new one tells more.
                Some(unsent) if lease.is_reused => {
                    request = unsent;
                    fresh = true;
                }
                Some(_) => return Err(AttemptEnd::NotSent),
                None => return Err(AttemptEnd::Lost),
            },
        }
    }
}

fn open(node: &SharedNode, response: Response<Incoming>, lease: PoolLease) -> OpenAnswer {
    let (parts, body) = response.into_parts();
    let head = node.port.read_answer(parts.status, &parts.headers);
    OpenAnswer { status: parts.status, headers: parts.headers, head, body, lease }
}

/// What the head of an answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// A success, as far as the head says.
    Success,
    /// A failure that the caller shall see as it is.
    Failure,
    /// No answer to pass on.
    Ended(AttemptEnd),
}

/// Passed on, these would promise that the request has not run, which the target did not say.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Judges the head of an answer to `request`.
#[must_use]
pub fn judge_head(status: StatusCode, head: &AnswerHead, request: &str) -> HeadVerdict {
    let echoes = head.request.as_deref() == Some(request);
    if head.request.is_some() && !echoes {
        return HeadVerdict::Ended(AttemptEnd::Garbled);
    }
    match head.claim {
        RunClaim::InputsGone => return HeadVerdict::Ended(AttemptEnd::InputsGone),
        RunClaim::NotRun | RunClaim::Misdirected => return HeadVerdict::Ended(AttemptEnd::NotRun),
        RunClaim::MayHaveRun => {}
    }
    if !echoes || head.is_encoded {
        return HeadVerdict::Ended(AttemptEnd::Garbled);
    }
    if status.is_success() {
        if head.is_signed { HeadVerdict::Success } else { HeadVerdict::Ended(AttemptEnd::Garbled) }
    } else if PROMISES.contains(&status) || status.is_informational() || status.is_redirection() {
        HeadVerdict::Ended(AttemptEnd::Garbled)
    } else {
        HeadVerdict::Failure
    }
}

/// What an end says of the target.
#[must_use]
pub fn call_result(end: AttemptEnd, head: Option<&AnswerHead>) -> CallResult {
    match end {
        AttemptEnd::NotSent => CallResult::Unreachable,
        AttemptEnd::NotRun if head.is_some_and(|head| head.claim == RunClaim::Misdirected) => CallResult::Replaced,
        AttemptEnd::NotRun => CallResult::Full,
        AttemptEnd::InputsGone => CallResult::Unknown,
        AttemptEnd::Lost => CallResult::Broken,
        AttemptEnd::Garbled | AttemptEnd::Failed => CallResult::Faulty,
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// It broke off or is too long.
pub async fn read_whole(body: &mut Incoming) -> Result<Bytes, AttemptEnd> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| AttemptEnd::Garbled)?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MOST_ANSWER_BYTES {
            return Err(AttemptEnd::Garbled);
        }
    }
    Ok(bytes.freeze())
}
