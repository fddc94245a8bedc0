//! Hedges. A hedge is a second attempt at another target while the first takes unusually long; the first result of the
//! two counts. The retry budget limits hedges.

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::dispatch;
use crate::names::AttemptId;
use crate::picker::{self, CallRequirements};
use crate::requests::{AttemptRecord, RequestRecord};

/// Returns the time at which an attempt that is sent now should get a hedge, or `None` if the attempt must not get one
/// or the usual latency is not known yet.
#[must_use]
pub fn compute_hedge_time(board: &Blackboard, record: &RequestRecord, is_stream: bool) -> Option<Moment> {
    // The tokens of two streams would have to be kept apart, and a claimed request must run once.
    let is_allowed = board.tuning.hedging && !is_stream && record.claim.is_none() && record.running.is_empty();
    let latency = board.stage_times.latency_summary(record.service()).filter(|_| is_allowed)?;
    // At least twice the median: where nearly all calls take the same time, exceeding p95 slightly is not unusual.
    Some(board.now + latency.p95.max(latency.median * 2))
}

/// Sends a hedge beside a running attempt. Does nothing if a request is queued for the service, the retry budget is
/// used up, or only targets are ready at which the stage was already tried.
pub fn send_hedge(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) {
    let Some(attempt) = board.requests.attempt(id).cloned() else { return };
    // Queued requests take precedence: a hedge would use a permit that one of them needs.
    if !board.queues.queue_mut(&attempt.service).is_empty() || !board.budget.is_affordable() {
        return;
    }
    let Some(record) = board.requests.get(&attempt.key) else { return };
    let mut avoid = record.failed_targets.clone();
    avoid.insert(attempt.target.clone());
    let Some(choice) = picker::choose(board, &attempt.service, CallRequirements { avoid: &avoid, prefixes: &[] })
    else {
        return;
    };
    if avoid.contains(&choice.target) || !board.budget.spend() {
        return;
    }
    board.counters.hedges += 1;
    dispatch::send_attempt(board, &attempt.key, &choice, out);
}

/// Cancels the other running attempts of the request after `winner` finished first.
pub fn cancel_losers(board: &mut Blackboard, winner: &AttemptRecord, out: &mut Vec<Action>) {
    let running = board.requests.get_mut(&winner.key).map(|record| std::mem::take(&mut record.running));
    for loser in running.unwrap_or_default() {
        crate::conclude::cancel_attempt(board, loser, out);
    }
}
