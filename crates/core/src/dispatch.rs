//! Dispatch of queued requests to targets. Each attempt needs a permit, the right to one call in flight to its target.

use crate::action::{Action, AttemptRequest};
use crate::blackboard::Blackboard;
use crate::conclude;
use crate::controller::Controller;
use crate::deadlines;
use crate::document::ServiceKind;
use crate::event::{AttemptEvent, Event};
use crate::hedges;
use crate::intake::is_stream;
use crate::names::{OrgName, RequestKey, ServiceName, TargetName};
use crate::outcome::RefusalKind;
use crate::picker::{self, CallRequirements, TargetChoice};
use crate::prefixes;
use crate::requests::{AttemptRecord, RequestState, TargetPhase};
use crate::store::StoreReply;
use crate::store_table::StorePurpose;
use crate::watches;

/// Sends queued requests after every event except a token of a stream, and after every reply of the table service.
#[derive(Debug, Default)]
pub struct DispatchController;

impl Controller for DispatchController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Attempt(_, AttemptEvent::Token { .. })) {
            return;
        }
        dispatch_all(board, out);
    }

    fn on_store(
        &mut self,
        board: &mut Blackboard,
        _purpose: &StorePurpose,
        _reply: &StoreReply,
        out: &mut Vec<Action>,
    ) {
        dispatch_all(board, out);
    }
}

fn dispatch_all(board: &mut Blackboard, out: &mut Vec<Action>) {
    let mut previous = None;
    while let Some(service) = board.queues.next_busy(previous.as_ref()) {
        dispatch_service(board, &service, out);
        previous = Some(service);
    }
}

/// Sends queued requests of one service in the order of its queue, until no target is found for one. Ends requests that
/// can no longer finish in time or whose content was found harmful.
fn dispatch_service(board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
    picker::refresh_ready_targets(board);
    let document = board.document.clone();
    let weight = |org: &OrgName| document.content.orgs.get(org).map_or(1.0, |spec| spec.weight);
    while board.ready.has_ready_target(service) {
        let Some(request) = board.queues.queue_mut(service).peek().cloned() else { return };
        if board.requests.get(&request.key).is_none_or(|record| deadlines::is_too_late(board, record)) {
            board.queues.queue_mut(service).pop(weight);
            conclude::fail(board, &request.key, RefusalKind::TooLate, out);
            continue;
        }
        if is_harmful(board, &request.key) {
            board.queues.queue_mut(service).pop(weight);
            board.counters.harmful_refused += 1;
            conclude::fail(board, &request.key, RefusalKind::Harmful, out);
            continue;
        }
        let Some(choice) = choose_target(board, service, &request.key) else { return };
        board.queues.queue_mut(service).pop(weight);
        send_attempt(board, &request.key, &choice, out);
    }
}

/// Returns whether the content of a request was found harmful while the request waited.
fn is_harmful(board: &Blackboard, key: &RequestKey) -> bool {
    let content = board.requests.get(key).map(|record| record.content);
    content.is_some_and(|content| board.harmful.count_crashed_targets(content) >= board.tuning.harmful_crash_limit)
}

fn choose_target(board: &mut Blackboard, service: &ServiceName, key: &RequestKey) -> Option<TargetChoice> {
    let is_stream = is_stream(&board.document.content, service);
    let record = board.requests.get_mut(key)?;
    if is_stream && record.prefixes.is_none() {
        record.prefixes = Some(prefixes::prefix_keys(service, &record.previous, &record.body));
    }
    let (avoid, prompt_prefixes) = (std::mem::take(&mut record.failed_targets), record.prefixes.take());
    let requirements = CallRequirements { avoid: &avoid, prefixes: prompt_prefixes.as_deref().unwrap_or_default() };
    let choice = picker::choose(board, service, requirements);
    let record = board.requests.get_mut(key)?;
    (record.failed_targets, record.prefixes) = (avoid, prompt_prefixes);
    choice
}

/// Records that the target's cache will hold the prefixes of a request's prompt.
fn record_prefixes(board: &mut Blackboard, key: &RequestKey, target: &TargetName) {
    let Some(record) = board.requests.get(key) else { return };
    for prefix in record.prefixes.iter().flatten() {
        board.prefixes.record_prefix(*prefix, target, board.now);
    }
}

/// Sends an attempt of a request to the target of `choice`. Does nothing if no permit of the target is free.
pub fn send_attempt(board: &mut Blackboard, key: &RequestKey, choice: &TargetChoice, out: &mut Vec<Action>) {
    let limit = board.targets.get(&choice.target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
    let view = board.targets.get(&choice.target);
    let is_cold = view.is_some_and(|view| view.warmth.seems_cold(&board.tuning, board.now));
    let phase = if is_cold { TargetPhase::Cold } else { TargetPhase::Warm };
    let Some(permit) = board.permits.take(&choice.target, limit, board.now) else { return };
    let id = board.next_attempt_id();
    let document = board.document.clone();
    let Some(record) = board.requests.get(key) else { return };
    let is_stream = document.content.services[record.service()].kind == ServiceKind::Generate;
    let time_left = board.now.until(record.deadline).min(board.tuning.max_call_duration);
    let share_deadline = deadlines::share_deadline(board, record, board.now + time_left);
    let hedge_at = hedges::compute_hedge_time(board, record, is_stream);
    let Some(record) = board.requests.get_mut(key) else { return };
    record.attempts += 1;
    record.stage_attempts += 1;
    record.state = RequestState::Running;
    let service = record.service().clone();
    let spec = &document.content.services[&service];
    let request = AttemptRequest {
        attempt: id,
        key: key.clone(),
        stage: record.stage,
        attempt_number: record.attempts,
        kind: spec.kind,
        target: choice.target.clone(),
        address: document.content.targets[&choice.target].address,
        body: record.body.clone(),
        previous: record.previous.clone(),
        time_left,
        resume_from: record.tokens.len() as u32,
        fresh_connection: !spec.repeatable,
        shadow: false,
    };
    let attempt = AttemptRecord {
        key: key.clone(),
        stage: record.stage,
        number: record.attempts,
        service,
        target: choice.target.clone(),
        version: choice.version.clone(),
        phase,
        permit,
        started: board.now,
        ends: board.now + time_left,
        share_deadline,
        hedge_at,
        is_stream,
        resume_from: record.tokens.len() as u32,
        has_claim: record.claim.is_some(),
        last_progress_at: board.now,
        tokens: 0,
        first_token: None,
        is_sustained: false,
    };
    board.counters.attempts += 1;
    board.watches.schedule(id, watches::next_check_at(board, &attempt));
    record_prefixes(board, key, &choice.target);
    board.requests.start_attempt(id, attempt);
    out.push(Action::Send(Box::new(request)));
}
