//! Takes callers' requests in: refuses what cannot be served, joins what is known, queues the rest.

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
use crate::event::{Ask, Event, Goal};
use crate::message::NodeState;
use crate::names::{CallId, Fingerprint, ServiceName, stable_hash};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{ClaimHold, EndedRecord, RequestRecord, RequestState};

/// What a goal means in the document.
#[derive(Clone, Debug)]
struct Plan {
    route: Arc<str>,
    stages: Vec<ServiceName>,
    longest: Duration,
    repeatable: bool,
}

/// Takes requests in.
#[derive(Debug, Default)]
pub struct IntakeController;

impl Controller for IntakeController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Asked(ask) => take_in(board, ask, out),
            Event::CallerGone(call) => caller_gone(board, *call, out),
            Event::Tick => expire(board, out),
            _ => {}
        }
    }
}

fn take_in(board: &mut Blackboard, ask: &Ask, out: &mut Vec<Action>) {
    let content = fingerprint(ask);
    if join_known(board, ask, content, out) {
        return;
    }
    match admit(board, ask, content, out) {
        Ok(plan) => open(board, ask, content, plan),
        Err(refusal) => {
            board.counters.refused += 1;
            scoring::count_refusal(board, ask, refusal);
            refuse(ask.call, refusal, out);
        }
    }
}

fn refuse(call: CallId, refusal: RefusalKind, out: &mut Vec<Action>) {
    let answer = FinalAnswer::refused(Outcome::NotRun, refusal);
    out.push(Action::Answer(call, AnswerPart::Final(Box::new(answer))));
}

/// Answers from what this node knows of the same id; tells whether it did.
fn join_known(board: &mut Blackboard, ask: &Ask, content: Fingerprint, out: &mut Vec<Action>) -> bool {
    // A request that runs comes before an earlier one of the same id that was not run.
    if let Some(record) = board.requests.get(&ask.key) {
        if record.content != content {
            refuse(ask.call, RefusalKind::IdReused, out);
            return true;
        }
        join_running(board, ask, out);
        return true;
    }
    let Some(ended) = board.requests.ended(&ask.key) else { return false };
    let unsettled = board.requests.settlements.get(&ask.key);
    let reused = unsettled.is_some_and(|settlement| settlement.content != content);
    if !reused && !is_final(board, ask, ended) {
        return false;
    }
    if reused || ended.content != content {
        refuse(ask.call, RefusalKind::IdReused, out);
        return true;
    }
    out.push(Action::Answer(ask.call, AnswerPart::Final(Box::new(ended.answer.clone()))));
    true
}

fn join_running(board: &mut Blackboard, ask: &Ask, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(&ask.key) else { return };
    if record.at_last_stage() && is_stream(&board.document.content, record.service()) {
        for (index, text) in record.tokens.iter().enumerate() {
            let part = AnswerPart::Token { index: index as u32, text: text.clone() };
            out.push(Action::Answer(ask.call, part));
        }
    }
    board.requests.join(&ask.key, ask.call);
}

/// Whether a request that ended at this node stays as it ended.
///
/// A repeatable one that was not run may simply be tried again. A claimed one that is not done may have
/// run at another node since, unless the claim of this node stands.
fn is_final(board: &Blackboard, ask: &Ask, ended: &EndedRecord) -> bool {
    if !is_claimed(&board.document.content, &ask.goal) {
        return ended.answer.outcome != Outcome::NotRun;
    }
    let settlement = board.requests.settlements.get(&ask.key);
    let settled = settlement.is_some_and(|settlement| settlement.claim.version.is_some());
    ended.answer.outcome == Outcome::Done || ended.under_claim || settled
}

fn admit(board: &mut Blackboard, ask: &Ask, content: Fingerprint, out: &mut Vec<Action>) -> Result<Plan, RefusalKind> {
    // A leaving node serves until the addresses that were handed out have lapsed.
    let takes_new = board.state == NodeState::Serving || (board.state == NodeState::Leaving && !board.closed);
    if !takes_new {
        return Err(RefusalKind::NotReady);
    }
    let document = &board.document.content;
    if !document.orgs.contains_key(&ask.key.org) {
        return Err(RefusalKind::UnknownOrg);
    }
    let plan = plan(document, &ask.goal).ok_or(RefusalKind::UnknownGoal)?;
    // Of a claimed one, another node may know the outcome: its claim is looked at first.
    if plan.repeatable && !plan.stages.iter().all(|stage| board.targets.is_open(stage)) {
        return Err(RefusalKind::NoTarget);
    }
    if board.harmful.downed(content) >= board.tuning.harmful_after {
        board.counters.harmful_refused += 1;
        return Err(RefusalKind::Harmful);
    }
    if !plan.repeatable && !board.store.is_healthy() {
        return Err(RefusalKind::ClaimUnavailable);
    }
    let left = ask.deadline.min(plan.longest);
    if deadlines::is_hopeless(board, &plan.stages, ask.priority, left) {
        return Err(RefusalKind::TooLate);
    }
    if !admission::make_room(board, &plan.stages[0], ask, left, out) {
        return Err(RefusalKind::Overloaded);
    }
    Ok(plan)
}

fn open(board: &mut Blackboard, ask: &Ask, content: Fingerprint, plan: Plan) {
    board.counters.accepted += 1;
    board.budget.earn();
    let claim = (!plan.repeatable).then(|| claim_for(board, ask));
    let state = if plan.repeatable { RequestState::Queued } else { RequestState::Claiming };
    let record = RequestRecord {
        key: ask.key.clone(),
        content,
        route: plan.route,
        callers: vec![ask.call],
        body: ask.body.clone(),
        stages: plan.stages,
        stage: 0,
        previous: Arc::from(""),
        tokens: Vec::new(),
        prefixes: None,
        arrived: board.now,
        deadline: board.now + ask.deadline.min(plan.longest),
        priority: ask.priority,
        state,
        attempts: 0,
        stage_attempts: 0,
        failed_at: BTreeSet::new(),
        broke: Vec::new(),
        running: Vec::new(),
        sent: false,
        claim,
        charges: Vec::new(),
    };
    if state == RequestState::Queued {
        board.queues.of(record.service()).push(record.priority, record.waiting());
    }
    board.requests.insert(record);
}

/// A claim that may still take effect is taken up again, so that its row is known when it shows.
fn claim_for(board: &mut Blackboard, ask: &Ask) -> ClaimHold {
    let earlier = board.requests.settlements.remove(&ask.key).map(|settlement| settlement.claim);
    earlier.unwrap_or_else(|| ClaimHold { nonce: board.nonce(), version: None, doubtful: false })
}

/// A request that nobody waits for is stopped, unless it must not be repeated: then its end is worth recording.
fn caller_gone(board: &mut Blackboard, call: CallId, out: &mut Vec<Action>) {
    let Some(key) = board.requests.leave(call) else { return };
    let claimed = board.requests.get(&key).is_some_and(|record| record.claim.is_some());
    if !claimed {
        conclude::fail(board, &key, RefusalKind::TooLate, out);
    }
}

fn expire(board: &mut Blackboard, out: &mut Vec<Action>) {
    for key in board.requests.overdue(board.now) {
        let following = board.requests.get(&key).is_some_and(|record| record.state == RequestState::Following);
        if following {
            let answer = FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
            conclude::conclude(board, &key, &answer, out);
        } else {
            conclude::fail(board, &key, RefusalKind::TooLate, out);
        }
    }
    board.requests.forget_ended(board.tuning.keep_ended, board.now);
}

fn plan(document: &Document, goal: &Goal) -> Option<Plan> {
    let (route, stages, longest) = match goal {
        Goal::Pipeline(name) => {
            let spec = document.pipelines.get(name)?;
            (name.as_str(), spec.stages.clone(), spec.deadline)
        }
        Goal::Service(name) => {
            let spec = document.services.get(name)?;
            (name.as_str(), vec![name.clone()], spec.deadline)
        }
    };
    let repeatable = stages.iter().all(|stage| document.services[stage].repeatable);
    Some(Plan { route: Arc::from(route), stages, longest, repeatable })
}

fn is_claimed(document: &Document, goal: &Goal) -> bool {
    plan(document, goal).is_some_and(|plan| !plan.repeatable)
}

/// Whether a service answers as a stream of tokens.
pub(crate) fn is_stream(document: &Document, service: &ServiceName) -> bool {
    document.services.get(service).is_some_and(|spec| spec.kind == ServiceKind::Generate)
}

fn fingerprint(ask: &Ask) -> Fingerprint {
    let (kind, name) = match &ask.goal {
        Goal::Pipeline(name) => ("pipeline", name.as_str()),
        Goal::Service(name) => ("service", name.as_str()),
    };
    Fingerprint(stable_hash(&[kind.as_bytes(), name.as_bytes(), ask.body.as_bytes()]))
}
