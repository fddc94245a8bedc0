//! Hedges: a second attempt beside one that takes unusually long, if the retry budget allows.

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::dispatch;
use crate::names::AttemptId;
use crate::picker::{self, CallWish};
use crate::requests::{AttemptRecord, RequestRecord};

/// When an attempt that is about to start is worth a hedge; none if it never is.
#[must_use]
pub fn hedge_at(board: &Blackboard, record: &RequestRecord, streams: bool) -> Option<Moment> {
    // The tokens of two streams would have to be told apart, and a claimed call runs once.
    let may = board.tuning.hedging && !streams && record.claim.is_none() && record.running.is_empty();
    let tail = board.stage_times.usual(record.service()).filter(|_| may)?;
    // Where nearly all calls take the same time, a little more of it is not unusual.
    Some(board.now + tail.most.max(tail.half * 2))
}

/// Sends a second attempt to another target; the first result of the two will count.
pub fn hedge(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) {
    let Some(attempt) = board.requests.attempt(id).cloned() else { return };
    // Those that wait come first: a hedge would only take their place.
    if !board.queues.of(&attempt.service).is_empty() || !board.budget.is_affordable() {
        return;
    }
    let Some(record) = board.requests.get(&attempt.key) else { return };
    let mut avoid = record.failed_at.clone();
    avoid.insert(attempt.target.clone());
    let Some(choice) = picker::choose(board, &attempt.service, CallWish { avoid: &avoid, prefixes: &[] }) else {
        return;
    };
    if avoid.contains(&choice.target) || !board.budget.spend() {
        return;
    }
    board.counters.hedges += 1;
    dispatch::send(board, &attempt.key, &choice, out);
}

/// Stops the attempts that run beside the one that won.
pub fn stop_losers(board: &mut Blackboard, winner: &AttemptRecord, out: &mut Vec<Action>) {
    let running = board.requests.get_mut(&winner.key).map(|record| std::mem::take(&mut record.running));
    for loser in running.unwrap_or_default() {
        crate::conclude::cancel_attempt(board, loser, out);
    }
}
