//! Intake of callers' requests. Refuses requests that cannot be served, and queues the others, after a claim if they
//! must not run twice. A request with the id of an open one joins it, and one with the id of an ended one gets its
//! answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::action::{Action, AnswerPart};
use crate::admission;
use crate::blackboard::Blackboard;
use crate::burn::scoring;
use crate::conclude;
use crate::controller::Controller;
use crate::deadlines;
use crate::document::{Document, ServiceKind};
use crate::event::{CallerRequest, Event, Goal};
use crate::message::NodeState;
use crate::names::{CallId, Fingerprint, ServiceName, stable_hash};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{EndedRecord, HeldClaim, RequestRecord, RequestState};

/// Stages and limits of a route, resolved from the document.
#[derive(Clone, Debug)]
struct RoutePlan {
    route: Arc<str>,
    stages: Vec<ServiceName>,
    max_deadline: Duration,
    is_repeatable: bool,
}

/// Accepts and refuses requests, and ends those that are past their deadline or have no caller left.
#[derive(Debug, Default)]
pub struct IntakeController;

impl Controller for IntakeController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Asked(request) => handle_request(board, request, out),
            Event::CallerGone(call) => handle_caller_gone(board, *call, out),
            Event::Tick => expire_requests(board, out),
            _ => {}
        }
    }
}

fn handle_request(board: &mut Blackboard, request: &CallerRequest, out: &mut Vec<Action>) {
    let content = compute_fingerprint(request);
    if answer_or_join_known(board, request, content, out) {
        return;
    }
    match admit(board, request, content, out) {
        Ok(plan) => open_request(board, request, content, plan),
        Err(refusal) => {
            board.counters.refused += 1;
            scoring::count_refusal(board, request, refusal);
            refuse(request.call, refusal, out);
        }
    }
}

fn refuse(call: CallId, refusal: RefusalKind, out: &mut Vec<Action>) {
    let answer = FinalAnswer::refused(Outcome::NotRun, refusal);
    out.push(Action::Answer(call, AnswerPart::Final(Box::new(answer))));
}

/// Handles a request whose id this node knows: adds its caller to the open request, or sends the answer of the ended
/// one. Returns false, without an answer, if the request has to be admitted as a new one.
fn answer_or_join_known(
    board: &mut Blackboard,
    request: &CallerRequest,
    content: Fingerprint,
    out: &mut Vec<Action>,
) -> bool {
    // A request that has not ended takes precedence over an earlier one of the same id that was not run.
    if let Some(record) = board.requests.get(&request.key) {
        if record.content != content {
            refuse(request.call, RefusalKind::IdReused, out);
            return true;
        }
        join_open_request(board, request, out);
        return true;
    }
    let Some(ended) = board.requests.ended_record(&request.key) else { return false };
    let unsettled = board.requests.settlements.get(&request.key);
    let is_id_reused = unsettled.is_some_and(|settlement| settlement.content != content);
    if !is_id_reused && !is_final(board, request, ended) {
        return false;
    }
    if is_id_reused || ended.content != content {
        refuse(request.call, RefusalKind::IdReused, out);
        return true;
    }
    out.push(Action::Answer(request.call, AnswerPart::Final(Box::new(ended.answer.clone()))));
    true
}

fn join_open_request(board: &mut Blackboard, request: &CallerRequest, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(&request.key) else { return };
    if record.is_at_last_stage() && is_stream(&board.document.content, record.service()) {
        for (index, text) in record.tokens.iter().enumerate() {
            let part = AnswerPart::Token { index: index as u32, text: text.clone() };
            out.push(Action::Answer(request.call, part));
        }
    }
    board.requests.add_caller(&request.key, request.call);
}

/// Returns whether the answer of a request that ended at this node is final.
///
/// A repeatable request that was not run may be sent again. A claimed request that is not done may have run at another
/// node since then, unless the claim of this node is known to be written.
fn is_final(board: &Blackboard, request: &CallerRequest, ended: &EndedRecord) -> bool {
    if !needs_claim(&board.document.content, &request.goal) {
        return ended.answer.outcome != Outcome::NotRun;
    }
    let settlement = board.requests.settlements.get(&request.key);
    let has_claim_row = settlement.is_some_and(|settlement| settlement.claim.version.is_some());
    ended.answer.outcome == Outcome::Done || ended.is_claim_written || has_claim_row
}

fn admit(
    board: &mut Blackboard,
    request: &CallerRequest,
    content: Fingerprint,
    out: &mut Vec<Action>,
) -> Result<RoutePlan, RefusalKind> {
    // A leaving node accepts requests until the address lists that callers keep have expired.
    let accepts_new =
        board.state == NodeState::Serving || (board.state == NodeState::Leaving && !board.is_refusing_requests);
    if !accepts_new {
        return Err(RefusalKind::NotReady);
    }
    let document = &board.document.content;
    if !document.orgs.contains_key(&request.key.org) {
        return Err(RefusalKind::UnknownOrg);
    }
    let plan = plan_route(document, &request.goal).ok_or(RefusalKind::UnknownGoal)?;
    // A request that needs a claim is not refused here: another node may have run it, which the claim's row shows.
    if plan.is_repeatable && !plan.stages.iter().all(|stage| board.targets.has_admitted_target(stage)) {
        return Err(RefusalKind::NoTarget);
    }
    if board.harmful.count_crashed_targets(content) >= board.tuning.harmful_crash_limit {
        board.counters.harmful_refused += 1;
        return Err(RefusalKind::Harmful);
    }
    if !plan.is_repeatable && !board.store.is_healthy() {
        return Err(RefusalKind::ClaimUnavailable);
    }
    let time_left = request.deadline.min(plan.max_deadline);
    if deadlines::is_likely_late(board, &plan.stages, request.priority, time_left) {
        return Err(RefusalKind::TooLate);
    }
    if !admission::make_room(board, &plan.stages[0], request, time_left, out) {
        return Err(RefusalKind::Overloaded);
    }
    Ok(plan)
}

fn open_request(board: &mut Blackboard, request: &CallerRequest, content: Fingerprint, plan: RoutePlan) {
    board.counters.accepted += 1;
    board.budget.earn();
    let claim = (!plan.is_repeatable).then(|| build_claim(board, request));
    let state = if plan.is_repeatable { RequestState::Queued } else { RequestState::Claiming };
    let record = RequestRecord {
        key: request.key.clone(),
        content,
        route: plan.route,
        callers: vec![request.call],
        body: request.body.clone(),
        stages: plan.stages,
        stage: 0,
        previous: Arc::from(""),
        tokens: Vec::new(),
        prefixes: None,
        arrived: board.now,
        deadline: board.now + request.deadline.min(plan.max_deadline),
        priority: request.priority,
        state,
        attempts: 0,
        stage_attempts: 0,
        failed_targets: BTreeSet::new(),
        crashed_versions: Vec::new(),
        running: Vec::new(),
        may_have_run: false,
        claim,
        charges: Vec::new(),
    };
    if state == RequestState::Queued {
        board.queues.queue_mut(record.service()).push(record.priority, record.queue_entry());
    }
    board.requests.insert(record);
}

/// Returns the claim for a new request. Removes a pending settlement of an earlier request with the same id and reuses
/// its claim, since its row may still be written and is then recognised by its nonce.
fn build_claim(board: &mut Blackboard, request: &CallerRequest) -> HeldClaim {
    let unsettled_claim = board.requests.settlements.remove(&request.key).map(|settlement| settlement.claim);
    unsettled_claim.unwrap_or_else(|| HeldClaim { nonce: board.generate_nonce(), version: None, may_be_written: false })
}

/// Removes a caller, and ends its request if no other caller waits for it. A request with a claim goes on: it must not
/// run again, so its outcome is worth recording.
fn handle_caller_gone(board: &mut Blackboard, call: CallId, out: &mut Vec<Action>) {
    let Some(key) = board.requests.remove_caller(call) else { return };
    let has_claim = board.requests.get(&key).is_some_and(|record| record.claim.is_some());
    if !has_claim {
        conclude::fail(board, &key, RefusalKind::TooLate, out);
    }
}

fn expire_requests(board: &mut Blackboard, out: &mut Vec<Action>) {
    for key in board.requests.expired(board.now) {
        let is_following = board.requests.get(&key).is_some_and(|record| record.state == RequestState::Following);
        if is_following {
            let answer = FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
            conclude::end_request(board, &key, &answer, out);
        } else {
            conclude::fail(board, &key, RefusalKind::TooLate, out);
        }
    }
    board.requests.expire_ended(board.tuning.ended_ttl, board.now);
}

fn plan_route(document: &Document, goal: &Goal) -> Option<RoutePlan> {
    let (route, stages, max_deadline) = match goal {
        Goal::Pipeline(name) => {
            let spec = document.pipelines.get(name)?;
            (name.as_str(), spec.stages.clone(), spec.deadline)
        }
        Goal::Service(name) => {
            let spec = document.services.get(name)?;
            (name.as_str(), vec![name.clone()], spec.deadline)
        }
    };
    let is_repeatable = stages.iter().all(|stage| document.services[stage].repeatable);
    Some(RoutePlan { route: Arc::from(route), stages, max_deadline, is_repeatable })
}

fn needs_claim(document: &Document, goal: &Goal) -> bool {
    plan_route(document, goal).is_some_and(|plan| !plan.is_repeatable)
}

/// Returns whether a service answers as a stream of tokens.
pub(crate) fn is_stream(document: &Document, service: &ServiceName) -> bool {
    document.services.get(service).is_some_and(|spec| spec.kind == ServiceKind::Generate)
}

fn compute_fingerprint(request: &CallerRequest) -> Fingerprint {
    let (kind, name) = match &request.goal {
        Goal::Pipeline(name) => ("pipeline", name.as_str()),
        Goal::Service(name) => ("service", name.as_str()),
    };
    Fingerprint(stable_hash(&[kind.as_bytes(), name.as_bytes(), request.body.as_bytes()]))
}
