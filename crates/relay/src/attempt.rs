//! Sends one request to one target and classifies the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use spdlog::info;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{ServiceName, TargetName};
use wasabipier_core::relay::rollout_board::CallOrigin;
use wasabipier_core::relay::slow_start::AnswerTiming;
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::suspects::RunStage;
use wasabipier_core::relay::targets::{CallResult, TargetEntry, TargetView};

use crate::buffer_memory::{BodyBuffer, BufferOverflow};
use crate::call_progress::CallProgress;
use crate::clock;
use crate::limits::{self, RoomGuard};
use crate::log_prefixes::TARGETS;
use crate::metering;
use crate::notices;
use crate::placement::GrantGuard;
use crate::pool::PooledConnection;
use crate::ports::{AnswerHead, RunClaim};
use crate::run_counter::RunGuard;
use crate::state::SharedNode;

/// Maximum size in bytes of an answer's body.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Minimum number of events after the first part from which the mean pause between events is derived.
const MIN_PAUSE_EVENTS: u32 = 4;

/// Counts a call as in flight at its target, and records its result there when dropped.
pub struct CallGuard {
    node: SharedNode,
    target: TargetName,
    /// What the call is compared by with calls to other versions.
    origin: CallOrigin,
    /// Number of prompt tokens that the target has to process first, including those of other calls.
    tokens_ahead: u32,
    /// Time that the work is expected to take, if it is known otherwise than by tokens.
    expected_time: Option<Duration>,
    /// When the first and the last part of the answer arrived.
    first_part_at: Option<Moment>,
    last_part_at: Moment,
    /// Number of events that arrived after the first part, and when the last of them did.
    later_events: (u32, Moment),
    /// Number of prompt tokens that the target has to process before its answer; 0 after the first part has arrived.
    unread_tokens: u32,
    started: Moment,
    result: CallResult,
    /// Whether the answer has arrived completely.
    is_complete: bool,
    /// Room that the call takes at a brittle target.
    room: Option<RoomGuard>,
    /// Grant of the hub that chose the target.
    grant: Option<GrantGuard>,
}

impl CallGuard {
    /// Records the start of a call. `unread_tokens` is the number of prompt tokens that the target has to process
    /// first; `route` is the name of the request's route, or of the service.
    #[must_use]
    pub fn new(node: &SharedNode, entry: &TargetEntry, route: &Arc<str>, unread_tokens: u32) -> Self {
        let started = clock::now();
        let mut board = node.board.borrow_mut();
        board.record_call_start(entry, unread_tokens, started);
        let view = board.targets.get(&entry.target);
        let tokens_ahead = view.map_or(0, TargetView::total_pending_tokens);
        let origin = CallOrigin {
            service: entry.service.clone(),
            version: entry.version.clone(),
            route: route.clone(),
            is_cold: view.is_some_and(|view| view.is_cold(started)),
        };
        drop(board);
        Self {
            node: node.clone(),
            target: entry.target.clone(),
            origin,
            tokens_ahead,
            expected_time: None,
            first_part_at: None,
            last_part_at: started,
            later_events: (0, started),
            unread_tokens,
            started,
            result: CallResult::Unknown,
            is_complete: false,
            room: None,
            grant: None,
        }
    }

    /// Has the room of a brittle target released when the call ends.
    #[must_use]
    pub fn with_room(mut self, room: Option<RoomGuard>) -> Self {
        self.room = room;
        self
    }

    /// Has the time of the answer compared with `expected`, the time that the work is expected to take.
    #[must_use]
    pub fn with_expected_time(mut self, expected: Duration) -> Self {
        self.expected_time = Some(expected);
        self
    }

    /// Has the hub that granted the call told how it goes on.
    #[must_use]
    pub fn with_grant(mut self, grant: Option<GrantGuard>) -> Self {
        if let Some(grant) = &grant {
            self.tokens_ahead = grant.tokens().1;
        }
        self.grant = grant;
        self
    }

    /// Records that the first part of the answer has arrived, and thus that the prompt is processed.
    pub fn record_first_part(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        let now = clock::now();
        self.last_part_at = now;
        let mut board = self.node.board.borrow_mut();
        board.targets.record_prompt_processed(&self.target, unread_tokens);
        if self.first_part_at.is_none() {
            self.first_part_at = Some(now);
            let (took, tokens) = (now.since(self.started), self.tokens_ahead);
            board.record_first_part(&self.origin, took, tokens);
            let timing = AnswerTiming { sent_at: self.started, took, tokens, expected: self.expected_time };
            board.record_answer_time(&self.target, &self.origin, timing, now);
            drop(board);
            if let Some(grant) = &self.grant {
                grant.record_prompt_read();
            }
        }
    }

    /// Records that events of a stream have arrived after the first part.
    pub fn record_later_events(&mut self, count: usize) {
        self.last_part_at = clock::now();
        self.later_events = (self.later_events.0 + count as u32, self.last_part_at);
    }

    /// Returns how far the call has come, if its answer is incomplete.
    #[must_use]
    pub fn run_stage(&self) -> RunStage {
        self.first_part_at.map_or(RunStage::Waiting, |first_at| RunStage::Answering(self.last_part_at.since(first_at)))
    }

    /// Records how fast the call was, as far as its end shows, and its outcome.
    fn record_comparison(&self, now: Moment) {
        let mut board = self.node.board.borrow_mut();
        let (event_count, last_event_at) = self.later_events;
        match self.first_part_at {
            Some(first_at) if event_count >= MIN_PAUSE_EVENTS => {
                board.record_event_pause(&self.origin, last_event_at.since(first_at) / event_count);
            }
            None if self.result == CallResult::Unknown => {
                board.record_unanswered(&self.origin, now.since(self.started), self.tokens_ahead);
            }
            _ => {}
        }
        board.record_outcome(&self.origin, self.result);
    }

    /// Sets the result of the call. The last result set before the drop is recorded.
    pub fn set_result(&mut self, result: CallResult) {
        self.result = result;
    }

    /// Records that the answer has arrived completely, so that the target no longer works on the call.
    pub fn record_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether the target may go on with the call, since its connection is closed before the answer was complete.
    fn may_run_on(&self) -> bool {
        let may_run =
            matches!(self.result, CallResult::Good(_) | CallResult::Garbled | CallResult::Broken | CallResult::Unknown);
        may_run && !self.is_complete
    }

    /// Counts and logs that the answer is not used.
    pub fn record_fault(&self, reason: &'static str) {
        record_fault(&self.node, &self.target, self.origin.service.as_str(), reason);
    }

    /// Returns the time since the start of the call.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        clock::now().since(self.started)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = clock::now();
        self.record_comparison(now);
        let mut board = self.node.board.borrow_mut();
        board.targets.record_prompt_processed(&self.target, self.unread_tokens);
        board.targets.record_call_end(&self.target, self.result, now);
        if self.result == CallResult::Broken {
            board.paths.record_doubt(&self.target);
        }
        drop(board);
        if matches!(self.result, CallResult::Broken | CallResult::Replaced) {
            self.node.pool.close_idle(&self.target);
        }
        let may_run_on = self.may_run_on();
        if let Some(room) = &mut self.room {
            room.set_rejected(self.result == CallResult::Full);
            room.set_may_run_on(may_run_on);
        }
        if let Some(grant) = &mut self.grant {
            grant.set_result(self.result);
        }
        let outcome = match self.result {
            CallResult::Good(_) => "good",
            CallResult::Faulty => "faulty",
            CallResult::Declined => "declined",
            CallResult::Garbled => "garbled",
            CallResult::Full => "full",
            CallResult::Broken => "broken",
            CallResult::Unreachable => "unreachable",
            CallResult::Replaced => "replaced",
            CallResult::Unknown => "unknown",
        };
        metering::record_target_call(self.origin.service.as_str(), outcome, now.since(self.started));
        let is_failure = !matches!(self.result, CallResult::Good(_) | CallResult::Declined | CallResult::Unknown);
        if is_failure && self.node.log_limiter.allows(now) {
            let (target, took) = (&self.target, now.since(self.started).as_millis());
            info!("{TARGETS} target call failed.", kv: { target = target.as_str(), outcome, took_ms = took as u64 });
        }
    }
}

/// Returns whether the head of an answer tells where its body ends. Of transfer codings, only `chunked` does, as the last.
#[must_use]
pub fn is_framed(headers: &HeaderMap) -> bool {
    let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
        return headers.contains_key(CONTENT_LENGTH);
    };
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

/// Why the bytes that a target sent are not used as an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerFault {
    /// The connection ended before the head was complete.
    HeadLost,
    /// The head is larger than the maximum.
    HeadTooLarge,
    /// The head is malformed.
    HeadMalformed,
    /// The connection was reset, or ended before the stated length or the last chunk.
    BodyCut,
    /// The body is larger than the maximum.
    BodyTooLarge,
    /// All bodies that are being read take more memory than they may.
    BodiesTooLarge,
}

impl From<BufferOverflow> for AnswerFault {
    fn from(overflow: BufferOverflow) -> Self {
        match overflow {
            BufferOverflow::Body => Self::BodyTooLarge,
            BufferOverflow::Total => Self::BodiesTooLarge,
        }
    }
}

impl AnswerFault {
    fn of_head(error: &hyper::Error) -> Self {
        match error {
            error if error.is_parse_too_large() => Self::HeadTooLarge,
            error if error.is_parse() => Self::HeadMalformed,
            _ => Self::HeadLost,
        }
    }

    /// Returns how the attempt ended.
    fn end(self) -> AttemptEnd {
        match self {
            Self::HeadLost | Self::BodyCut => AttemptEnd::Lost,
            Self::HeadTooLarge | Self::HeadMalformed | Self::BodyTooLarge | Self::BodiesTooLarge => AttemptEnd::Garbled,
        }
    }
}

/// Counts and logs that an answer of `target` is not used. `reason` is a short text for both.
pub fn record_fault(node: &SharedNode, target: &TargetName, service: &str, reason: &'static str) {
    metering::record_answer_fault(service, reason);
    if node.log_limiter.allows(clock::now()) {
        info!("{TARGETS} answer is not used.", kv: { target = target.as_str(), reason });
    }
}

/// An answer whose head has been received and whose body is still to be read.
pub struct OpenAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// HTTP headers of the answer.
    pub headers: HeaderMap,
    /// The decoded head.
    pub head: AnswerHead,
    /// The unread body.
    pub body: Incoming,
    /// The connection that the answer arrives on.
    pub connection: PooledConnection,
    target: TargetName,
    service: ServiceName,
}

/// Sends a request to a target and waits for the head of the answer. A request that an
/// idle connection could not take is sent again on a new one.
///
/// # Errors
///
/// `NotSent` if no byte of the request can have left this node, otherwise `Lost` or, for bytes that are no head,
/// `Garbled`.
pub async fn send_request(
    node: &SharedNode,
    entry: &TargetEntry,
    request: Request<Bytes>,
    progress: &CallProgress,
    run: &RunGuard,
) -> Result<OpenAnswer, AttemptEnd> {
    let mut request = request.map(Full::new);
    let mut needs_new_connection = false;
    let called_at = clock::now();
    loop {
        let connection = node.pool.acquire(node, entry, needs_new_connection).await;
        let mut connection = connection.map_err(|_| AttemptEnd::NotSent)?;
        progress.record_sent();
        run.record_sent();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                progress.record_head();
                return Ok(open_answer(node, entry, called_at, response, connection));
            }
            Err(mut error) => match error.take_message() {
                // The target had closed an idle connection. Only a new connection shows whether it is reachable.
                Some(unsent) if connection.is_reused => {
                    run.record_end(AttemptEnd::NotSent);
                    request = unsent;
                    needs_new_connection = true;
                }
                Some(_) => return Err(AttemptEnd::NotSent),
                None => {
                    let fault = AnswerFault::of_head(error.error());
                    record_fault(node, &entry.target, entry.service.as_str(), fault.into());
                    return Err(fault.end());
                }
            },
        }
    }
}

fn open_answer(
    node: &SharedNode,
    entry: &TargetEntry,
    called_at: Moment,
    response: Response<Incoming>,
    connection: PooledConnection,
) -> OpenAnswer {
    let (parts, body) = response.into_parts();
    let head = node.platform.read_answer(parts.status, &parts.headers);
    // Another target has the address, or the answer is too short to name a limit.
    if head.rate_limit.is_some() || parts.status.is_success() {
        limits::record_answer(node, &entry.target, head.rate_limit, called_at);
    }
    let names_tolerance = head.reject_tolerance.is_some() && head.claim != RunClaim::Misdirected;
    if names_tolerance || parts.status.is_success() {
        limits::record_tolerance(node, &entry.target, head.reject_tolerance, called_at);
    }
    // Another target has the address, and its notices are not about this one.
    if head.claim != RunClaim::Misdirected {
        notices::record_answer(node, entry, &head);
    }
    let (target, service) = (entry.target.clone(), entry.service.clone());
    OpenAnswer { status: parts.status, headers: parts.headers, head, body, connection, target, service }
}

/// Classification of the head of a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The head reports success; the body may still be incomplete.
    Success,
    /// The target reports a failure that can be forwarded to the caller.
    Failure,
    /// The attempt ended without an answer that can be forwarded.
    Ended(AttemptEnd),
}

/// Statuses that are not forwarded: to the caller they mean that the request has not run, which the target did not
/// claim.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Classifies the head of an answer to the request with the id `request`. On a connection that `is_reused`, an answer that
/// does not name the request may belong to an earlier one, and shows nothing about this one.
#[must_use]
pub fn classify_head(status: StatusCode, head: &AnswerHead, request: &str, is_reused: bool) -> HeadVerdict {
    let is_echoed = head.request.as_deref() == Some(request);
    if (head.request.is_some() || is_reused) && !is_echoed {
        return HeadVerdict::Ended(AttemptEnd::Garbled);
    }
    match head.claim {
        RunClaim::InputsGone => return HeadVerdict::Ended(AttemptEnd::InputsGone),
        RunClaim::NotRun | RunClaim::Misdirected => return HeadVerdict::Ended(AttemptEnd::NotRun),
        RunClaim::MayHaveRun => {}
    }
    if !is_echoed || head.is_encoded {
        return HeadVerdict::Ended(AttemptEnd::Garbled);
    }
    if status.is_success() {
        if head.is_signed { HeadVerdict::Success } else { HeadVerdict::Ended(AttemptEnd::Garbled) }
    } else if (status.is_client_error() || status.is_server_error()) && !NOT_RUN_STATUSES.contains(&status) {
        HeadVerdict::Failure
    } else {
        // The HTTP library reads statuses up to 999, and HTTP has none from 600 on.
        HeadVerdict::Ended(AttemptEnd::Garbled)
    }
}

/// Returns the result to record at the target for an attempt that ended with `end`. `head` is the head of the answer,
/// if one arrived.
#[must_use]
pub fn call_result(end: AttemptEnd, head: Option<&AnswerHead>) -> CallResult {
    match end {
        AttemptEnd::NotSent => CallResult::Unreachable,
        AttemptEnd::NotRun if head.is_some_and(|head| head.claim == RunClaim::Misdirected) => CallResult::Replaced,
        AttemptEnd::NotRun => CallResult::Full,
        AttemptEnd::InputsGone | AttemptEnd::Harmful | AttemptEnd::Limited => CallResult::Unknown,
        AttemptEnd::Lost => CallResult::Broken,
        AttemptEnd::Garbled => CallResult::Garbled,
        AttemptEnd::Failed => CallResult::Faulty,
    }
}

/// Reads the body of an answer to its end, within the bounds of one answer and of all answers.
///
/// # Errors
///
/// `Lost` if the body is incomplete, `Garbled` if it is too large. The connection must then be dropped.
pub async fn read_body(node: &SharedNode, answer: &mut OpenAnswer) -> Result<Bytes, AttemptEnd> {
    read_body_within(node, answer, MAX_ANSWER_BYTES).await
}

/// Does the same as [`read_body`] for an answer of up to `max_bytes` bytes.
///
/// # Errors
///
/// The same.
pub async fn read_body_within(
    node: &SharedNode,
    answer: &mut OpenAnswer,
    max_bytes: usize,
) -> Result<Bytes, AttemptEnd> {
    let read = collect_body(node, &mut answer.body, max_bytes).await;
    read.map_err(|fault| {
        record_fault(node, &answer.target, answer.service.as_str(), fault.into());
        fault.end()
    })
}

async fn collect_body(node: &SharedNode, body: &mut Incoming, max_bytes: usize) -> Result<Bytes, AnswerFault> {
    let mut buffer = BodyBuffer::new(&node.answer_memory, max_bytes);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| AnswerFault::BodyCut)?.into_data() {
            buffer.push(&data)?;
        }
    }
    Ok(buffer.into_bytes())
}
