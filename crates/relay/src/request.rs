//! The way of one request: admission, stages, attempts, and its answer.

mod streaming;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::prompts::prefix_keys;
use wasabipier_core::relay::steps::{AttemptEnd, AttemptTally, NextStep};
use wasabipier_core::relay::targets::{CallResult, TargetEntry};
use wasabipier_wire::relay::WireCall;

use crate::admission::{self, AdmittedRequest, Rejection};
use crate::attempt::{self, CallGuard, HeadVerdict, OpenAnswer};
use crate::body::AnswerBody;
use crate::clock;
use crate::metering;
use crate::part::REQUEST;
use crate::ports::{AskHead, RefusalKind, RefusalNotice, ServerOrder};
use crate::prepare::{PreparedInputs, StageRun};
use crate::state::{OpenRequest, SharedNode};
use crate::stream::{OpenStream, StreamPart};
use crate::work;

/// Tokens of a prompt that other nodes are told of at once: it keeps its engine busy for longer than a heartbeat's pause
/// lets them see.
const LONG_PROMPT_TOKENS: u32 = 4_000;
/// Pause before a caller comes again after its targets were full or not reached.
const COME_AGAIN: Duration = Duration::from_millis(250);
/// Time to tell a peer about content that brings targets down.
const TELL_WITHIN: Duration = Duration::from_secs(1);

/// Serves a request.
pub async fn serve(
    node: SharedNode,
    head: AskHead,
    parts: http::request::Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let started = clock::now();
    let open = OpenRequest::new(&node);
    let admitted = match admission::admit(&node, &head, &parts, body).await {
        Ok(admitted) => admitted,
        Err(rejection) => {
            log_end(&node, &head.request, "", &rejection.kind.to_string(), rejection.reason, started);
            return refuse(&node, rejection);
        }
    };
    let left = clock::now().until(admitted.deadline);
    let mut request = RelayRequest::new(node.clone(), head, parts, admitted);
    let run = timeout(left, request.run()).await;
    let end = run.unwrap_or_else(|_| {
        let has_not_run = request.tally.has_not_run() && !request.is_sent;
        let kind = if has_not_run { RefusalKind::NotRun } else { RefusalKind::TimedOut };
        Err(Rejection { kind, reason: "deadline", retry_after: None })
    });
    match end {
        Ok(RunEnd::Whole(whole)) => {
            request.log_end(&whole.status.as_u16().to_string(), "answered");
            whole.into_response(&node)
        }
        Ok(RunEnd::Stream(stream)) => request.stream(*stream, open),
        Err(rejection) => {
            request.log_end(&rejection.kind.to_string(), rejection.reason);
            refuse(&node, rejection)
        }
    }
}

fn refuse(node: &SharedNode, rejection: Rejection) -> Response<AnswerBody> {
    let notice = RefusalNotice { kind: rejection.kind, retry_after: rejection.retry_after };
    node.port.refusal(notice).map(AnswerBody::whole)
}

fn log_end(
    node: &SharedNode,
    id: &str,
    route: &str,
    outcome: &str,
    reason: &str,
    started: wasabipier_core::clock::Moment,
) {
    let now = clock::now();
    let took = now.since(started);
    metering::request_ended(route, outcome, took);
    if node.pace.admits(now) {
        let board = node.board.borrow();
        let (document, age) = (board.index.version, board.document_age(now).map_or(-1, |age| age.as_millis() as i64));
        drop(board);
        let took_ms = took.as_millis() as u64;
        info!("{REQUEST} ended.", kv: { id, route, outcome, reason, took_ms, document, document_age_ms = age });
    }
}

/// An answer that is passed on whole.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    fn into_response(self, node: &SharedNode) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        node.port.clean_answer(response.headers_mut());
        response
    }
}

/// What the caller gets.
enum RunEnd {
    Whole(WholeAnswer),
    Stream(Box<OpenStream>),
}

/// An attempt that brought no answer to pass on.
struct FailedAttempt {
    end: AttemptEnd,
    /// The target's own failure, to be passed on if nothing better comes.
    answer: Option<WholeAnswer>,
}

impl From<AttemptEnd> for FailedAttempt {
    fn from(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// A request on its way.
struct RelayRequest {
    node: SharedNode,
    head: AskHead,
    parts: http::request::Parts,
    admitted: AdmittedRequest,
    tally: AttemptTally,
    avoid: Vec<TargetName>,
    inputs: Option<(PreparedInputs, BTreeMap<DcName, u64>)>,
    /// Whether an attempt is on its way, up to the end of its answer, whose end is not counted yet.
    is_sent: bool,
}

impl RelayRequest {
    fn new(node: SharedNode, head: AskHead, parts: http::request::Parts, admitted: AdmittedRequest) -> Self {
        let (tally, avoid) = (AttemptTally::default(), Vec::new());
        Self { node, head, parts, admitted, tally, avoid, inputs: None, is_sent: false }
    }

    /// Runs stages and attempts until there is an answer.
    async fn run(&mut self) -> Result<RunEnd, Rejection> {
        loop {
            if self.inputs.is_none() {
                let prepared = self.prepare().await;
                prepared.map_err(|rejection| self.reject_truly(rejection))?;
            }
            let failed = match self.attempt(self.head.last_event).await {
                Ok(end) => {
                    if matches!(end, RunEnd::Whole(_)) {
                        self.inputs = Some(Default::default());
                    }
                    return Ok(end);
                }
                Err(failed) => failed,
            };
            match self.decide(failed.end) {
                NextStep::Again => {}
                NextStep::Prepare => self.inputs = None,
                NextStep::Refuse => return Err(Rejection::not_run("no target took it", COME_AGAIN)),
                NextStep::Fail => {
                    return Err(Rejection { kind: RefusalKind::Unknown, reason: "no answer", retry_after: None });
                }
                NextStep::Relay => match failed.answer {
                    Some(answer) => return Ok(RunEnd::Whole(answer)),
                    None => return Err(Rejection { kind: RefusalKind::Unknown, reason: "failed", retry_after: None }),
                },
            }
        }
    }

    /// A rejection as it may be told: an earlier attempt may have run before inputs had to be made again.
    fn reject_truly(&self, rejection: Rejection) -> Rejection {
        if self.tally.has_not_run() {
            return rejection;
        }
        Rejection { kind: RefusalKind::Unknown, retry_after: None, ..rejection }
    }

    fn decide(&mut self, end: AttemptEnd) -> NextStep {
        let kind = self.admitted.grant.route.kind;
        let most = self.admitted.grant.route.max_attempts;
        let wants = self.tally.wants_retry(kind, end, most);
        let affordable = wants && self.node.board.borrow_mut().try_take_retry(&self.admitted.service, clock::now());
        let step = self.tally.decide(kind, end, most, affordable);
        self.is_sent = false;
        if self.node.pace.admits(clock::now()) {
            let (id, end, step) = (&*self.head.request, end.to_string(), step.to_string());
            let target = self.avoid.last().map_or("", |target| target.as_str());
            info!("{REQUEST} attempt failed.", kv: { id, target, end = end.as_str(), affordable, step = step.as_str() });
        }
        step
    }

    async fn prepare(&mut self) -> Result<(), Rejection> {
        let route = self.admitted.grant.route.clone();
        if route.stages.is_empty() {
            self.inputs = Some(Default::default());
            return Ok(());
        }
        let final_call = self.node.board.borrow().tuning.weights.expected_first_event_time(self.head.prompt.as_ref());
        let run = StageRun {
            node: &self.node,
            head: &self.head,
            route: &route,
            rank: self.admitted.grant.rank,
            deadline: self.admitted.deadline,
            objective: self.admitted.started + route.objective,
            final_call,
            wanted_in: self.choose().map(|entry| entry.dc),
        };
        match run.run().await {
            Ok(inputs) => {
                self.inputs = Some(inputs);
                Ok(())
            }
            Err(_) => Err(Rejection::not_run("a stage failed", COME_AGAIN)),
        }
    }

    fn choose(&self) -> Option<TargetEntry> {
        let none = BTreeMap::new();
        let wish = CallRequirements {
            service: &self.admitted.service,
            avoid: &self.avoid,
            prompt: self.head.prompt.as_ref(),
            inputs: self.inputs.as_ref().map_or(&none, |(_, bytes)| bytes),
        };
        self.node.board.borrow_mut().choose(&wish, clock::now())
    }

    /// Sends the request to one target.
    async fn attempt(&mut self, last_event: Option<u64>) -> Result<RunEnd, FailedAttempt> {
        if self.head.prompt.is_some() {
            work::ask(&self.node).await;
        }
        let Some(entry) = self.choose() else { return Err(AttemptEnd::NotRun.into()) };
        self.avoid.push(entry.target.clone());
        let tokens = self.note_prompt(&entry);
        let mut guard = CallGuard::new(&self.node, &entry, tokens);
        if tokens > 0 {
            work::tell(&self.node);
        }
        let patience = self.patience(&entry, tokens);
        self.is_sent = true;
        let outcome = match patience {
            Some(patience) => timeout(patience, self.call(&entry, last_event)).await.unwrap_or(Err(AttemptEnd::Lost)),
            None => self.call(&entry, last_event).await,
        };
        let answer = match outcome {
            Ok(answer) => answer,
            Err(end) => {
                guard.set_result(attempt::call_result(end, None));
                self.note_end(&entry, end);
                return Err(end.into());
            }
        };
        self.learn_cold(&entry, &answer);
        match attempt::judge_head(answer.status, &answer.head, &self.head.request) {
            HeadVerdict::Ended(end) => {
                guard.set_result(attempt::call_result(end, Some(&answer.head)));
                Err(end.into())
            }
            HeadVerdict::Failure => self.read_failure(answer, guard).await,
            HeadVerdict::Success if self.admitted.grant.route.kind.is_stream() => {
                self.open_stream(answer, guard, &entry, last_event, patience).await
            }
            HeadVerdict::Success => self.read_success(answer, guard, &entry, patience).await,
        }
    }

    /// Notes where the prompt goes; gives back the tokens that its target has to read.
    fn note_prompt(&self, entry: &TargetEntry) -> u32 {
        let now = clock::now();
        let mut board = self.node.board.borrow_mut();
        let mut unread = 0;
        if let Some(prompt) = &self.head.prompt {
            let kept = board.prompts.cached_tokens(prompt, &prefix_keys(prompt), &entry.target, now);
            board.prompts.record_call(prompt, &entry.target, now);
            unread = prompt.tokens().saturating_sub(kept);
            if unread >= LONG_PROMPT_TOKENS && board.is_small_fleet() {
                self.node.heartbeat_now.notify_one();
            }
        }
        if let Some(view) = board.targets.get(&entry.target)
            && self.node.pace.admits(now)
        {
            let (id, target, own, others) =
                (&*self.head.request, entry.target.as_str(), view.in_flight, view.others_in_flight);
            let ahead = view.unread_tokens + view.others_unread_tokens;
            let inputs = self.inputs.iter().flat_map(|(_, bytes)| bytes);
            let remote: u64 = inputs.filter(|(dc, _)| **dc != entry.dc).map(|(_, bytes)| bytes).sum();
            let remote_kb = remote / 1_000;
            let waited_ms = now.since(self.admitted.started).as_millis() as u64;
            info!("{REQUEST} target chosen.", kv: { id, target, own, others, ahead, unread, remote_kb, waited_ms });
        }
        unread
    }

    fn patience(&self, entry: &TargetEntry, tokens: u32) -> Option<Duration> {
        let board = self.node.board.borrow();
        let view = board.targets.get(&entry.target);
        let usual = view.map_or(0.0, |view| view.average_ms);
        let ahead = view.map_or(0, |view| view.unread_tokens + view.others_unread_tokens);
        let read = Duration::from_secs_f64(f64::from(tokens + ahead) / board.tuning.weights.tokens_per_ms / 1e3);
        let route = &self.admitted.grant.route;
        // The last attempt is not cut short: nothing would come after it.
        let is_last = self.tally.may_have_run + 1 >= route.max_attempts;
        board.tuning.silence_timeouts.first_part_timeout(route.kind, route.objective, usual, read).filter(|_| !is_last)
    }

    async fn call(&self, entry: &TargetEntry, last_event: Option<u64>) -> Result<OpenAnswer, AttemptEnd> {
        let inputs = self.inputs.as_ref().map(|(inputs, _)| inputs.handles()).unwrap_or_default();
        let order = ServerOrder {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
            body: self.admitted.body.clone(),
            target: entry,
            org: self.admitted.grant.org.as_ref(),
            time_left: clock::now().until(self.admitted.deadline),
            rank: self.admitted.grant.rank,
            last_event,
            inputs: &inputs,
        };
        let request = self.node.port.server_request(&order);
        attempt::exchange(&self.node, entry, request, false).await
    }

    fn learn_cold(&self, entry: &TargetEntry, answer: &OpenAnswer) {
        if let Some(cold_for) = answer.head.cold_for {
            self.node.board.borrow_mut().targets.record_cold_start(&entry.target, cold_for, clock::now());
        }
    }

    async fn read_failure(&self, mut answer: OpenAnswer, mut guard: CallGuard) -> Result<RunEnd, FailedAttempt> {
        guard.set_result(CallResult::Faulty);
        let body = attempt::read_whole(&mut answer.body).await?;
        let is_server_fault = answer.status.is_server_error();
        let whole = WholeAnswer { status: answer.status, headers: answer.headers, body };
        self.node.pool.give_back(answer.lease, answer.head.idle_for);
        if is_server_fault {
            return Err(FailedAttempt { end: AttemptEnd::Failed, answer: Some(whole) });
        }
        guard.set_result(CallResult::Unknown);
        Ok(RunEnd::Whole(whole))
    }

    async fn read_success(
        &self,
        mut answer: OpenAnswer,
        mut guard: CallGuard,
        entry: &TargetEntry,
        patience: Option<Duration>,
    ) -> Result<RunEnd, FailedAttempt> {
        let took = guard.took();
        guard.set_result(CallResult::Broken);
        let read = attempt::read_whole(&mut answer.body);
        let read = match patience {
            Some(patience) => timeout(patience, read).await.unwrap_or(Err(AttemptEnd::Lost)),
            None => read.await,
        };
        let body = read.inspect_err(|_| self.note_end(entry, AttemptEnd::Lost))?;
        guard.set_result(CallResult::Good(took));
        self.node.pool.give_back(answer.lease, answer.head.idle_for);
        self.node.board.borrow_mut().harmful.clear_content(self.admitted.content);
        Ok(RunEnd::Whole(WholeAnswer { status: answer.status, headers: answer.headers, body }))
    }

    async fn open_stream(
        &self,
        answer: OpenAnswer,
        guard: CallGuard,
        entry: &TargetEntry,
        last_event: Option<u64>,
        patience: Option<Duration>,
    ) -> Result<RunEnd, FailedAttempt> {
        let mut stream = OpenStream::new(answer, guard, last_event);
        stream.set_result(CallResult::Broken);
        match stream.begin(&self.node, patience).await {
            StreamPart::Broken(_) => {
                self.note_end(entry, AttemptEnd::Lost);
                Err(AttemptEnd::Lost.into())
            }
            StreamPart::Events(_) | StreamPart::End => {
                let now = clock::now();
                if self.node.pace.admits(now) {
                    let (id, after_ms) = (&*self.head.request, now.since(self.admitted.started).as_millis() as u64);
                    info!("{REQUEST} first event.", kv: { id, target = entry.target.as_str(), after_ms });
                }
                Ok(RunEnd::Stream(Box::new(stream)))
            }
        }
    }

    /// Follows up on an end that may tell that its target went down.
    fn note_end(&self, entry: &TargetEntry, end: AttemptEnd) {
        let now = clock::now();
        let mut board = self.node.board.borrow_mut();
        match end {
            AttemptEnd::Lost => board.record_broken_call(self.admitted.content, &entry.target, now),
            AttemptEnd::NotSent => {
                let contents = board.record_target_down(&entry.target, now);
                drop(board);
                for content in contents {
                    tell_harmful(&self.node, content.0, &entry.target);
                }
            }
            _ => {}
        }
    }

    fn log_end(&self, outcome: &str, reason: &str) {
        let route = &self.admitted.grant.route.name;
        log_end(&self.node, &self.head.request, route, outcome, reason, self.admitted.started);
    }
}

/// Tells peers of content that brought a target down.
fn tell_harmful(node: &SharedNode, content: u64, target: &TargetName) {
    let now = clock::now();
    let addresses: Vec<_> = node.board.borrow().members.alive(now).map(|view| view.heartbeat.peer_address).collect();
    for address in addresses {
        let (node, call) = (node.clone(), WireCall::Harmful { content, target: target.to_string() });
        spawn_local(async move {
            if let Err(error) = node.peers.call(address, &call, TELL_WITHIN).await {
                info!("{REQUEST} a peer was not told of harmful content.", kv: { error = error.to_string().as_str() });
            }
        });
    }
}
