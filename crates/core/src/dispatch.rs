//! Sends queued requests to targets as permits allow.

use crate::action::{Action, SendOrder};
use crate::blackboard::Blackboard;
use crate::conclude;
use crate::controller::Controller;
use crate::event::Event;
use crate::names::{OrgName, RequestKey, ServiceName};
use crate::outcome::RefusalKind;
use crate::picker::{self, Choice};
use crate::requests::{AttemptRecord, RequestState};

/// Sends queued requests.
#[derive(Debug, Default)]
pub struct DispatchController;

impl Controller for DispatchController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Attempt(_, crate::event::AttemptEvent::Token { .. })) {
            return;
        }
        for service in board.queues.busy() {
            serve(board, &service, out);
        }
    }

    fn on_store(
        &mut self,
        board: &mut Blackboard,
        _purpose: &crate::store_table::StorePurpose,
        _reply: &crate::store::StoreReply,
        out: &mut Vec<Action>,
    ) {
        for service in board.queues.busy() {
            serve(board, &service, out);
        }
    }
}

fn serve(board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
    let document = board.document.clone();
    let weight = |org: &OrgName| document.content.orgs.get(org).map_or(1.0, |spec| spec.weight);
    // A choice made for the head of the queue; most requests have nothing to avoid.
    while picker::choose(board, service, &std::collections::BTreeSet::new()).is_some() {
        let Some(waiting) = board.queues.of(service).pop(weight) else { return };
        if waiting.deadline <= board.now {
            conclude::fail(board, &waiting.key, RefusalKind::TooLate, out);
            continue;
        }
        let Some(record) = board.requests.get(&waiting.key) else { continue };
        let avoid = record.failed_at.clone();
        if let Some(choice) = picker::choose(board, service, &avoid) {
            send(board, &waiting.key, &choice, out);
        } else {
            let priority = board.requests.get(&waiting.key).map(|record| record.priority);
            board.queues.of(service).push(priority.unwrap_or_default(), waiting);
            return;
        }
    }
}

fn send(board: &mut Blackboard, key: &RequestKey, choice: &Choice, out: &mut Vec<Action>) {
    let limit = board.targets.get(&choice.target).map_or(0, |view| view.limit);
    let Some(permit) = board.permits.take(&choice.target, limit, board.now) else { return };
    let id = board.next_attempt();
    let document = board.document.clone();
    let Some(record) = board.requests.get_mut(key) else { return };
    record.attempts += 1;
    record.stage_attempts += 1;
    record.state = RequestState::Running;
    let service = record.service().clone();
    let spec = &document.content.services[&service];
    let time_left = board.now.until(record.deadline).min(board.tuning.longest_call);
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
        permit,
        started: board.now,
        ends: board.now + time_left,
    };
    board.counters.attempts += 1;
    board.requests.start_attempt(id, attempt);
    out.push(Action::Send(Box::new(order)));
}
