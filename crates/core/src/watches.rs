//! Checks of running attempts. Each attempt is checked at the earliest time at which it would count as silent, has used
//! up its stage's share of the deadline, or should get a hedge.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::{Event, FailureKind};
use crate::hedges;
use crate::names::AttemptId;
use crate::requests::AttemptRecord;
use crate::stages;

/// Schedule of checks: attempts by the times of their checks.
///
/// Progress of an attempt does not move its entry: a check that comes too early schedules the next one, so that a token
/// causes no work here. Only the first token adds a check. The entries of an attempt that ended are dropped when they
/// are due.
#[derive(Clone, Debug, Default)]
pub struct WatchTable {
    due: BTreeSet<(Moment, AttemptId)>,
}

impl WatchTable {
    /// Schedules a check of an attempt at the given time.
    pub fn schedule(&mut self, attempt: AttemptId, at: Moment) {
        self.due.insert((at, attempt));
    }

    /// Removes the earliest check that is due by `now`, and returns the id of its attempt.
    pub fn pop_due(&mut self, now: Moment) -> Option<AttemptId> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, attempt)| attempt)
    }
}

/// Cancels attempts that make no progress or run late, and sends hedges.
#[derive(Debug, Default)]
pub struct WatchController;

impl Controller for WatchController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        if !matches!(event, Event::Tick) {
            return;
        }
        while let Some(id) = board.watches.pop_due(board.now) {
            check_attempt(board, id, out);
        }
    }
}

fn check_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) {
    let Some(attempt) = board.requests.attempt(id) else { return };
    let now = board.now;
    if now >= silence_deadline(board, attempt) {
        board.counters.silent_attempts += 1;
        stages::abandon_attempt(board, id, FailureKind::Silent, out);
        return;
    }
    if attempt.hedge_at.is_some_and(|at| at <= now) {
        hedges::send_hedge(board, id, out);
    } else if should_retry_late(board, attempt) {
        stages::abandon_attempt(board, id, FailureKind::Late, out);
        return;
    }
    schedule_next_check(board, id);
}

/// Clears the check times that have passed and schedules the next check.
fn schedule_next_check(board: &mut Blackboard, id: AttemptId) {
    let now = board.now;
    let Some(attempt) = board.requests.attempt_mut(id) else { return };
    attempt.hedge_at = attempt.hedge_at.filter(|at| *at > now);
    if attempt.share_deadline <= now {
        attempt.share_deadline = attempt.ends;
    }
    let Some(attempt) = board.requests.attempt(id) else { return };
    // The next check is at least a millisecond later: at `now` it would run in this same pass, which would never end.
    let next_check = next_check_at(board, attempt).max(now + Duration::from_millis(1));
    board.watches.schedule(id, next_check);
}

/// Returns whether an attempt has used up its stage's share of the deadline and is worth replacing: it is not a stream
/// and has no claim, no hedge runs, another attempt is allowed, the retry budget covers it, and a target is ready.
fn should_retry_late(board: &Blackboard, attempt: &AttemptRecord) -> bool {
    let is_late = !attempt.is_stream && !attempt.has_claim && board.now >= attempt.share_deadline;
    let has_attempts_left = board
        .requests
        .get(&attempt.key)
        .is_some_and(|record| record.running.len() == 1 && record.stage_attempts < board.tuning.max_attempts);
    is_late && has_attempts_left && board.budget.is_affordable() && board.ready.has_ready_target(&attempt.service)
}

/// Returns the earliest time at which an attempt that makes no further progress has to be checked.
#[must_use]
pub fn next_check_at(board: &Blackboard, attempt: &AttemptRecord) -> Moment {
    let silent_at = silence_deadline(board, attempt);
    let late_at = if attempt.is_stream || attempt.has_claim { silent_at } else { attempt.share_deadline };
    silent_at.min(late_at).min(attempt.hedge_at.unwrap_or(silent_at))
}

/// Returns the time at which an attempt that makes no further progress counts as silent.
///
/// Only a stream without a claim ends before its time runs out, since its request can be sent again. Cancelling a
/// claimed attempt early would gain nothing.
fn silence_deadline(board: &Blackboard, attempt: &AttemptRecord) -> Moment {
    if !attempt.is_stream || attempt.has_claim {
        return attempt.ends;
    }
    let idle_timeout =
        if attempt.tokens == 0 { board.tuning.first_token_timeout } else { board.tuning.stream_idle_timeout };
    attempt.ends.min(attempt.last_progress_at + idle_timeout)
}
