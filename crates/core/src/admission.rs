//! Admission to full queues: a new request displaces the request that the queue gives up first, if it outranks that
//! one.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::conclude;
use crate::event::CallerRequest;
use crate::names::{OrgName, ServiceName};
use crate::outcome::RefusalKind;

/// Returns whether the queue of `service` has room for a new request, after displacing a queued request if necessary.
///
/// A full queue displaces its candidate if the new request has a higher priority. At the same priority it does so if
/// the new request has an earlier deadline, or an organisation with fewer queued requests for its weight. The displaced
/// request ends as overloaded. It must be in its first stage, with no attempt that must not be retried. `time_left` is
/// the time until the new request's deadline.
pub fn make_room(
    board: &mut Blackboard,
    service: &ServiceName,
    request: &CallerRequest,
    time_left: Duration,
    out: &mut Vec<Action>,
) -> bool {
    let queue = board.queues.queue_mut(service);
    if queue.len() < board.tuning.max_queue_length {
        return true;
    }
    let document = board.document.clone();
    let weight = |org: &OrgName| document.content.orgs.get(org).map_or(1.0, |spec| spec.weight);
    let Some(candidate) = queue.displacement_candidate(weight) else { return false };
    let is_lighter = queue.weighted_length(request.priority, &request.key.org, weight) < candidate.weighted_length;
    let is_earlier = board.now + time_left < candidate.request.deadline;
    let outranks_candidate =
        request.priority < candidate.priority || (request.priority == candidate.priority && (is_lighter || is_earlier));
    let is_displaceable =
        board.requests.get(&candidate.request.key).is_some_and(|record| record.stage == 0 && !record.may_have_run);
    if !outranks_candidate || !is_displaceable {
        return false;
    }
    board.counters.displaced += 1;
    conclude::fail(board, &candidate.request.key, RefusalKind::Overloaded, out);
    true
}
