//! Counts finished requests and calls as good or bad events.
//!
//! A request is good if it was done within its deadline; a call to a stage is good if it succeeded. Errors of the
//! caller do not count, nor do requests whose callers all hung up before the deadline. A request that is sent to two
//! nodes counts on both, since each node answers a caller.

use std::sync::Arc;

use crate::blackboard::Blackboard;
use crate::burn::{BurnEvent, BurnScope};
use crate::document::Document;
use crate::event::{CallerRequest, Goal};
use crate::names::{OrgName, PipelineName, ServiceName};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{AttemptRecord, RequestRecord};

/// Counts a finished request for the environment, its organisation and its route.
pub fn count_request(board: &mut Blackboard, record: &RequestRecord, answer: &FinalAnswer) {
    let is_in_time = board.now <= record.deadline;
    let is_done = answer.outcome == Outcome::Done;
    let has_hung_up = record.callers.is_empty() && board.now < record.deadline;
    if has_hung_up || answer.refusal.is_some_and(is_caller_error) {
        return;
    }
    let took = Some(board.now.since(record.arrived));
    let Some(objective) = route_objective(&board.document.content, &record.route) else { return };
    let event = BurnEvent { good: is_done && is_in_time, objective, took };
    count_request_event(board, &record.key.org, record.route.clone(), event);
}

/// Counts a request that was refused before any work was done as a bad event; unknown organisations do not count.
pub fn count_refusal(board: &mut Blackboard, request: &CallerRequest, refusal: RefusalKind) {
    if is_caller_error(refusal) || !board.document.content.orgs.contains_key(&request.key.org) {
        return;
    }
    let route = match &request.goal {
        Goal::Pipeline(name) => name.to_shared_str(),
        Goal::Service(name) => name.to_shared_str(),
    };
    let Some(objective) = route_objective(&board.document.content, &route) else { return };
    count_request_event(board, &request.key.org, route, BurnEvent { good: false, objective, took: None });
}

/// Counts a finished call to a stage for its service and the data centre of its target.
pub fn count_attempt(board: &mut Blackboard, attempt: &AttemptRecord, good: bool) {
    let accepted_document = board.document.clone();
    let Some(spec) = accepted_document.content.services.get(&attempt.service) else { return };
    let took = Some(board.now.since(attempt.started));
    let event = BurnEvent { good, objective: spec.objective, took };
    let now = board.now;
    board.burn.count(BurnScope::Stage, attempt.service.to_shared_str(), event, now);
    if let Some(target) = accepted_document.content.targets.get(&attempt.target) {
        board.burn.count(BurnScope::DataCentre, target.dc.to_shared_str(), event, now);
    }
}

fn count_request_event(board: &mut Blackboard, org: &OrgName, route: Arc<str>, event: BurnEvent) {
    let now = board.now;
    let environment = board.document.content.environment.clone();
    board.burn.count(BurnScope::Environment, environment, event, now);
    board.burn.count(BurnScope::Organisation, org.to_shared_str(), event, now);
    board.burn.count(BurnScope::Route, route, event, now);
}

/// Returns the objective of the pipeline or, if there is none, of the service that a route names.
fn route_objective(document: &Document, route: &str) -> Option<f64> {
    let pipeline = document.pipelines.get(&PipelineName::new(route));
    let service = || document.services.get(&ServiceName::new(route));
    pipeline.map(|spec| spec.objective).or_else(|| service().map(|spec| spec.objective))
}

fn is_caller_error(refusal: RefusalKind) -> bool {
    matches!(
        refusal,
        RefusalKind::UnknownOrg
            | RefusalKind::UnknownGoal
            | RefusalKind::IdReused
            | RefusalKind::Harmful
            | RefusalKind::Rejected
    )
}
