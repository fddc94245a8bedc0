//! Sends queued requests to targets as permits allow.

use crate::action::{Action, SendOrder};
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
use crate::picker::{self, CallWish, Choice};
use crate::prefixes;
use crate::requests::{AttemptRecord, RequestState, TargetPhase};
use crate::store::StoreReply;
use crate::store_table::StorePurpose;
use crate::watches;

/// Sends queued requests.
#[derive(Debug, Default)]
pub struct DispatchController;

impl Controller for DispatchController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Attempt(_, AttemptEvent::Token { .. })) {
            return;
        }
        serve_all(board, out);
    }

    fn on_store(
        &mut self,
        board: &mut Blackboard,
        _purpose: &StorePurpose,
        _reply: &StoreReply,
        out: &mut Vec<Action>,
    ) {
        serve_all(board, out);
    }
}

fn serve_all(board: &mut Blackboard, out: &mut Vec<Action>) {
    let mut previous = None;
    while let Some(service) = board.queues.next_busy(previous.as_ref()) {
        serve(board, &service, out);
        previous = Some(service);
    }
}

/// Sends requests of one service in their order, until one finds no target.
fn serve(board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
    picker::refresh(board);
    let document = board.document.clone();
    let weight = |org: &OrgName| document.content.orgs.get(org).map_or(1.0, |spec| spec.weight);
    while board.ready.any(service) {
        let Some(waiting) = board.queues.of(service).peek().cloned() else { return };
        if board.requests.get(&waiting.key).is_none_or(|record| deadlines::is_lost(board, record)) {
            board.queues.of(service).pop(weight);
            conclude::fail(board, &waiting.key, RefusalKind::TooLate, out);
            continue;
        }
        if is_harmful(board, &waiting.key) {
            board.queues.of(service).pop(weight);
            board.counters.harmful_refused += 1;
            conclude::fail(board, &waiting.key, RefusalKind::Harmful, out);
            continue;
        }
        let Some(choice) = choose_for(board, service, &waiting.key) else { return };
        board.queues.of(service).pop(weight);
        send(board, &waiting.key, &choice, out);
    }
}

/// Whether the content of a request was found to bring targets down while it waited.
fn is_harmful(board: &Blackboard, key: &RequestKey) -> bool {
    let content = board.requests.get(key).map(|record| record.content);
    content.is_some_and(|content| board.harmful.downed(content) >= board.tuning.harmful_after)
}

fn choose_for(board: &mut Blackboard, service: &ServiceName, key: &RequestKey) -> Option<Choice> {
    let streams = is_stream(&board.document.content, service);
    let record = board.requests.get_mut(key)?;
    if streams && record.prefixes.is_none() {
        record.prefixes = Some(prefixes::prefix_keys(service, &record.previous, &record.body));
    }
    let (avoid, kept) = (std::mem::take(&mut record.failed_at), record.prefixes.take());
    let wish = CallWish { avoid: &avoid, prefixes: kept.as_deref().unwrap_or_default() };
    let choice = picker::choose(board, service, wish);
    let record = board.requests.get_mut(key)?;
    (record.failed_at, record.prefixes) = (avoid, kept);
    choice
}

/// Notes that the prompt of a request will be in its target's cache.
fn learn_prefixes(board: &mut Blackboard, key: &RequestKey, target: &TargetName) {
    let Some(record) = board.requests.get(key) else { return };
    for prefix in record.prefixes.iter().flatten() {
        board.prefixes.learn(*prefix, target, board.now);
    }
}

/// Sends an attempt of a request to the target of `choice`.
pub fn send(board: &mut Blackboard, key: &RequestKey, choice: &Choice, out: &mut Vec<Action>) {
    let limit = board.targets.get(&choice.target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
    let view = board.targets.get(&choice.target);
    let cold = view.is_some_and(|view| view.warmth.seems_cold(&board.tuning, board.now));
    let phase = if cold { TargetPhase::Cold } else { TargetPhase::Warm };
    let Some(permit) = board.permits.take(&choice.target, limit, board.now) else { return };
    let id = board.next_attempt();
    let document = board.document.clone();
    let Some(record) = board.requests.get(key) else { return };
    let streams = document.content.services[record.service()].kind == ServiceKind::Generate;
    let time_left = board.now.until(record.deadline).min(board.tuning.longest_call);
    let share_ends = deadlines::share_ends(board, record, board.now + time_left);
    let hedge_at = hedges::hedge_at(board, record, streams);
    let Some(record) = board.requests.get_mut(key) else { return };
    record.attempts += 1;
    record.stage_attempts += 1;
    record.state = RequestState::Running;
    let service = record.service().clone();
    let spec = &document.content.services[&service];
    let order = SendOrder {
        attempt: id,
        key: key.clone(),
        stage: record.stage,
        number: record.attempts,
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
        share_ends,
        hedge_at,
        streams,
        resume_from: record.tokens.len() as u32,
        claimed: record.claim.is_some(),
        progress: board.now,
        tokens: 0,
        first_token: None,
        flowing: false,
    };
    board.counters.attempts += 1;
    board.watches.set(id, watches::next_look(board, &attempt));
    learn_prefixes(board, key, &choice.target);
    board.requests.start_attempt(id, attempt);
    out.push(Action::Send(Box::new(order)));
}
