//! Which ends of requests and calls count, and as what.
//!
//! A request is good if it was done within its deadline; a call to a stage is good if it succeeded. What a
//! caller did wrong does not count, nor does a request whose caller hung up before its deadline. A request
//! that is asked at two nodes counts at both, since two callers were answered.

use std::sync::Arc;

use crate::blackboard::Blackboard;
use crate::burn::{BurnEvent, BurnScope};
use crate::document::Document;
use crate::event::{Ask, Goal};
use crate::names::{OrgName, PipelineName, ServiceName};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{AttemptRecord, RequestRecord};

/// Counts a request that ended.
pub fn count_request(board: &mut Blackboard, record: &RequestRecord, answer: &FinalAnswer) {
    let in_time = board.now <= record.deadline;
    let done = answer.outcome == Outcome::Done;
    let hung_up = record.callers.is_empty() && board.now < record.deadline;
    if hung_up || answer.refusal.is_some_and(is_callers_fault) {
        return;
    }
    let took = Some(board.now.since(record.arrived));
    let Some(objective) = objective_of(&board.document.content, &record.route) else { return };
    let event = BurnEvent { good: done && in_time, objective, took };
    count(board, &record.key.org, record.route.clone(), event);
}

/// Counts a request that was refused before any work.
pub fn count_refusal(board: &mut Blackboard, ask: &Ask, refusal: RefusalKind) {
    if is_callers_fault(refusal) || !board.document.content.orgs.contains_key(&ask.key.org) {
        return;
    }
    let route = match &ask.goal {
        Goal::Pipeline(name) => name.shared(),
        Goal::Service(name) => name.shared(),
    };
    let Some(objective) = objective_of(&board.document.content, &route) else { return };
    count(board, &ask.key.org, route, BurnEvent { good: false, objective, took: None });
}

/// Counts a call to a stage that ended, for its service and its target's data centre.
pub fn count_attempt(board: &mut Blackboard, attempt: &AttemptRecord, good: bool) {
    let document = board.document.clone();
    let Some(spec) = document.content.services.get(&attempt.service) else { return };
    let took = Some(board.now.since(attempt.started));
    let event = BurnEvent { good, objective: spec.objective, took };
    let now = board.now;
    board.burn.count(BurnScope::Stage, attempt.service.shared(), event, now);
    if let Some(target) = document.content.targets.get(&attempt.target) {
        board.burn.count(BurnScope::DataCentre, target.dc.shared(), event, now);
    }
}

fn count(board: &mut Blackboard, org: &OrgName, route: Arc<str>, event: BurnEvent) {
    let now = board.now;
    let environment = board.document.content.environment.clone();
    board.burn.count(BurnScope::Environment, environment, event, now);
    board.burn.count(BurnScope::Organisation, org.shared(), event, now);
    board.burn.count(BurnScope::Route, route, event, now);
}

fn objective_of(document: &Document, route: &str) -> Option<f64> {
    let pipeline = document.pipelines.get(&PipelineName::new(route));
    let service = || document.services.get(&ServiceName::new(route));
    pipeline.map(|spec| spec.objective).or_else(|| service().map(|spec| spec.objective))
}

fn is_callers_fault(refusal: RefusalKind) -> bool {
    matches!(
        refusal,
        RefusalKind::UnknownOrg
            | RefusalKind::UnknownGoal
            | RefusalKind::IdReused
            | RefusalKind::Harmful
            | RefusalKind::Rejected
    )
}
