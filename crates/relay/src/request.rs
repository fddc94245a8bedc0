//! Serves one request: admission, preparation stages, attempts at targets, and the answer to the caller.

mod choice;
mod open_attempts;
mod refusals;
mod streaming;
mod target_attempt;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_core::relay::prompts::prefix_keys;
use wasabipier_core::relay::steps::{AttemptEnd, AttemptTally, NextStep};
use wasabipier_core::relay::suspects::HarmfulContent;
use wasabipier_core::relay::targets::{TargetEntry, TargetView};

use crate::admission::{self, AdmittedRequest, Rejection};
use crate::body::AnswerBody;
use crate::call_progress::CallProgress;
use crate::clock;
use crate::log_prefixes::REQUEST;
use crate::metering;
use crate::ports::{RefusalKind, RequestHead};
use crate::prepare::{PreparedInputs, StageRun};
use crate::run_counter::RunCounter;
use crate::state::{OpenRequest, SharedNode};
use refusals::{RunStop, build_refusal, reject_at_process_end};
use target_attempt::RequestAnswer;

/// Number of unread prompt tokens from which on a heartbeat is sent at once. Such a prompt keeps its engine busy, and
/// with regular heartbeats other nodes would learn of it too late.
const LONG_PROMPT_TOKENS: u32 = 4_000;
/// Delay after which a caller may retry when its targets were full or unreachable.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Serves a caller's request and returns the response, whose body may be a stream.
pub async fn serve(
    node: SharedNode,
    head: RequestHead,
    parts: http::request::Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let started = clock::now();
    let mut open = OpenRequest::new(&node);
    let admission = tokio::select! {
        admission = admission::admit(&node, &head, &parts, body) => admission,
        () = node.wait_for_process_end() => Err(reject_at_process_end(&node)),
    };
    let admitted = match admission {
        Ok(admitted) => admitted,
        Err(rejection) => {
            record_end(&node, &head.request, "", &rejection.kind.to_string(), rejection.reason, started);
            return build_refusal(&node, rejection);
        }
    };
    let left = clock::now().until(admitted.deadline);
    open.set_admitted(&admitted.grant.route.name, admitted.started);
    let mut request = RelayRequest::new(node.clone(), head, parts, admitted);
    // An answer that is ready goes out also if the process ends now.
    let run = tokio::select! {
        biased;
        run = timeout(left, request.run()) => run.map_err(|_| RunStop::Deadline),
        () = node.wait_for_process_end() => Err(RunStop::ProcessEnd),
    };
    let end = run.unwrap_or_else(|stop| Err(request.reject_unfinished(stop)));
    match end {
        Ok(RequestAnswer::Whole(whole)) => {
            open.set_answered();
            request.record_end(&whole.status.as_u16().to_string(), "answered");
            whole.into_response(&node)
        }
        Ok(RequestAnswer::Stream(stream)) => request.into_stream_response(*stream, open),
        Err(rejection) => {
            request.record_end(&rejection.kind.to_string(), rejection.reason);
            build_refusal(&node, rejection)
        }
    }
}

/// Records the metrics of a request that ended, and logs the end. `started` is the time at which the request arrived.
fn record_end(node: &SharedNode, id: &str, route: &str, outcome: &str, reason: &str, started: Moment) {
    let now = clock::now();
    let took = now.since(started);
    metering::record_request(route, outcome, took);
    if node.log_limiter.allows(now) {
        let board = node.board.borrow();
        let (document, age) = (board.index.version, board.document_age(now).map_or(-1, |age| age.as_millis() as i64));
        drop(board);
        let took_ms = took.as_millis() as u64;
        match node.stop_started.get() {
            None => {
                info!("{REQUEST} ended.", kv: { id, route, outcome, reason, took_ms, document, document_age_ms = age });
            }
            // Shows together with `took_ms` whether a stopping node took the request before or after the signal.
            Some(stop_started) => {
                let stopping_ms = now.since(stop_started).as_millis() as u64;
                info!("{REQUEST} ended.", kv: { id, route, outcome, reason, took_ms, document, document_age_ms = age, stopping_ms });
            }
        }
    }
}

/// An admitted request with the state of its attempts.
struct RelayRequest {
    node: SharedNode,
    head: RequestHead,
    parts: http::request::Parts,
    admitted: AdmittedRequest,
    tally: AttemptTally,
    tried_targets: Vec<TargetName>,
    /// Time after which a limited target is expected to take a request, if none did.
    limit_pause: Duration,
    /// Results of the preparation stages and their bytes by data centre; `None` until they are prepared. Empty for a
    /// route without stages, and after the final call has used the results.
    inputs: Option<(PreparedInputs, BTreeMap<DcName, u64>)>,
    /// Whether a run has proven that the content crashes no target.
    is_proven: bool,
    /// Whether an attempt has started whose end is not counted in `tally` yet. This includes the reading of its answer.
    has_attempt_in_flight: bool,
    /// Progress of the newest attempt.
    progress: Rc<CallProgress>,
    /// Counts the request for metering; `None` if it is not to be counted.
    run_counter: Option<Rc<RunCounter>>,
}

impl RelayRequest {
    fn new(node: SharedNode, head: RequestHead, parts: http::request::Parts, admitted: AdmittedRequest) -> Self {
        let (tally, tried_targets) = (AttemptTally::default(), Vec::new());
        let (is_proven, has_attempt_in_flight) = (false, false);
        let is_stream = admitted.grant.route.retry_policy.is_stream();
        let run_counter = RunCounter::new(&node, admitted.grant.org.as_ref(), is_stream);
        Self {
            node,
            head,
            parts,
            admitted,
            tally,
            tried_targets,
            limit_pause: RETRY_AFTER,
            inputs: None,
            is_proven,
            has_attempt_in_flight,
            progress: Rc::default(),
            run_counter,
        }
    }

    /// Runs preparation stages and attempts until a target answers or no further attempt is allowed.
    async fn run(&mut self) -> Result<RequestAnswer, Rejection> {
        loop {
            if self.inputs.is_none() {
                let prepared = self.prepare_inputs().await;
                prepared.map_err(|rejection| self.adjust_rejection(rejection))?;
            }
            self.check_time_to_run()?;
            let failed = match self.try_target(self.head.last_event).await {
                Ok(end) => {
                    if matches!(end, RequestAnswer::Whole(_)) {
                        self.inputs = Some(Default::default());
                    }
                    return Ok(end);
                }
                Err(failed) => failed,
            };
            match self.decide_next_step(failed.end) {
                NextStep::Again => {}
                NextStep::Prepare => self.inputs = None,
                NextStep::Refuse if failed.end == AttemptEnd::Harmful => return Err(Rejection::harmful()),
                NextStep::Refuse if failed.end == AttemptEnd::Limited => return Err(self.reject_for_limits()),
                NextStep::Refuse => return Err(self.reject_untaken()),
                // No attempt is left to wait for.
                NextStep::Fail | NextStep::Wait => {
                    return Err(Rejection { kind: RefusalKind::Unknown, reason: "no answer", retry_after: None });
                }
                NextStep::Relay => match failed.answer {
                    Some(answer) => return Ok(RequestAnswer::Whole(answer)),
                    None => return Err(Rejection { kind: RefusalKind::Unknown, reason: "failed", retry_after: None }),
                },
            }
        }
    }

    /// Changes a rejection to `Unknown` if an earlier attempt may have run. Inputs can be prepared again after such an
    /// attempt, and a failure to prepare them must not claim that the request has not run.
    fn adjust_rejection(&self, rejection: Rejection) -> Rejection {
        if self.tally.has_not_run() {
            return rejection;
        }
        Rejection { kind: RefusalKind::Unknown, retry_after: None, ..rejection }
    }

    /// Counts a failed attempt, and decides what to do next.
    fn decide_next_step(&mut self, end: AttemptEnd) -> NextStep {
        let retry_policy = self.admitted.grant.route.retry_policy;
        let max_attempts = self.admitted.grant.route.max_attempts;
        // A retry of content that probably crashes targets would rather crash another one than be answered.
        let is_suspected = end == AttemptEnd::Lost
            && !self.is_proven
            && self.node.board.borrow().suspects.is_nearly_harmful(&self.admitted.keys);
        let wants_retry = !is_suspected && self.tally.wants_retry(retry_policy, end, max_attempts);
        let affordable = match end {
            AttemptEnd::NotSent => self.has_untried_target(),
            _ => wants_retry && self.node.board.borrow_mut().try_take_retry(&self.admitted.service, clock::now()),
        };
        let step = self.tally.decide(retry_policy, end, max_attempts, affordable);
        self.has_attempt_in_flight = false;
        self.progress.record_end();
        if self.node.log_limiter.allows(clock::now()) {
            let (id, end, step) = (&*self.head.request, end.to_string(), step.to_string());
            let target = self.tried_targets.last().map_or("", |target| target.as_str());
            info!("{REQUEST} attempt failed.", kv: { id, target, end = end.as_str(), affordable, step = step.as_str() });
        }
        step
    }

    /// Runs the preparation stages of the route, if it has any.
    async fn prepare_inputs(&mut self) -> Result<(), Rejection> {
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
            wanted_in: self.choose_target(false).map(|entry| entry.dc),
        };
        match run.run().await {
            Ok(inputs) => {
                self.inputs = Some(inputs);
                Ok(())
            }
            Err(_) => Err(Rejection::not_run("a stage failed", RETRY_AFTER)),
        }
    }

    /// Returns harmful content of the request, which must not be sent to a target. The first attempt of a trial may be.
    fn find_harmful_content(&self) -> Option<HarmfulContent> {
        let board = self.node.board.borrow();
        let trial = self.admitted.trial.as_ref().filter(|_| self.tried_targets.is_empty());
        let is_trial = |content: &HarmfulContent| trial.is_some_and(|trial| trial.keys == content.keys);
        let mut harmful = board.suspects.find_harmful(&self.admitted.keys);
        harmful.find(|content| !self.is_proven && !is_trial(content)).cloned()
    }

    /// Records that the prompt goes to the target that this node has chosen. Returns the number of prompt tokens that the
    /// target has not cached, and of those of other calls that it has to read before; 0 for a request without a prompt.
    fn record_prompt(&self, entry: &TargetEntry) -> (u32, u32) {
        let now = clock::now();
        let mut board = self.node.board.borrow_mut();
        let Some(prompt) = &self.head.prompt else { return (0, 0) };
        let cached = board.prompts.cached_tokens(prompt, &prefix_keys(prompt), &entry.target, now);
        board.prompts.record_call(prompt, &entry.target, now);
        let unread = prompt.tokens().saturating_sub(cached);
        if unread >= LONG_PROMPT_TOKENS && board.is_small_fleet() {
            self.node.heartbeat_now.notify_one();
        }
        (unread, board.targets.get(&entry.target).map_or(0, TargetView::total_pending_tokens))
    }

    /// Logs that a target was chosen. `unread` and `ahead` are the prompt tokens that it has to read of this request, and
    /// of others before it; `is_granted` tells whether a hub chose it.
    fn log_choice(&self, entry: &TargetEntry, unread: u32, ahead: u32, is_granted: bool) {
        let now = clock::now();
        let board = self.node.board.borrow();
        if let Some(view) = board.targets.get(&entry.target)
            && self.node.log_limiter.allows(now)
        {
            let (id, target, own, others) =
                (&*self.head.request, entry.target.as_str(), view.in_flight, view.others_in_flight);
            let inputs = self.inputs.iter().flat_map(|(_, bytes)| bytes);
            let remote: u64 = inputs.filter(|(dc, _)| **dc != entry.dc).map(|(_, bytes)| bytes).sum();
            let remote_kb = remote / 1_000;
            let waited_ms = now.since(self.admitted.started).as_millis() as u64;
            info!("{REQUEST} target chosen.", kv: { id, target, own, others, ahead, unread, remote_kb, waited_ms, is_granted });
        }
    }

    /// Returns the time within which the first part of an answer must arrive, or `None` for no limit, as in the last
    /// attempt. `tokens` is the number of prompt tokens that the target has to read first.
    fn first_part_timeout(&self, entry: &TargetEntry, tokens: u32) -> Option<Duration> {
        let board = self.node.board.borrow();
        let view = board.targets.get(&entry.target);
        // The average is that of the usual work time.
        let average_ms =
            view.map_or(0.0, |view| view.average_first_byte_ms * view.work_time_ratio(clock::now()).max(1.0));
        let read_time = Duration::from_secs_f64(f64::from(tokens) / board.tuning.weights.tokens_per_ms / 1e3);
        let route = &self.admitted.grant.route;
        // The last attempt has no timeout of its own, because no other attempt would follow it.
        let is_last = self.tally.may_have_run_count + self.tally.open_count + 1 >= route.max_attempts;
        board
            .tuning
            .silence_timeouts
            .first_part_timeout(route.retry_policy, route.objective, average_ms, read_time)
            .filter(|_| !is_last)
    }

    fn record_end(&self, outcome: &str, reason: &str) {
        let route = &self.admitted.grant.route.name;
        record_end(&self.node, &self.head.request, route, outcome, reason, self.admitted.started);
    }
}
