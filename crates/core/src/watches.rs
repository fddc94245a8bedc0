//! When to look at running attempts again: each may have gone silent, or run past its bound.

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

/// Attempts by the moment of the next look.
///
/// Progress does not move an entry: the look itself finds out that it came too early and is put off.
/// So a token costs nothing here. An attempt that ended is dropped at its next look.
#[derive(Clone, Debug, Default)]
pub struct WatchTable {
    due: BTreeSet<(Moment, AttemptId)>,
}

impl WatchTable {
    /// Looks at an attempt at the given moment.
    pub fn set(&mut self, attempt: AttemptId, at: Moment) {
        self.due.insert((at, attempt));
    }

    /// Takes an attempt that is due.
    pub fn pop_due(&mut self, now: Moment) -> Option<AttemptId> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, attempt)| attempt)
    }
}

/// Stops attempts that make no progress.
#[derive(Debug, Default)]
pub struct WatchController;

impl Controller for WatchController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        if !matches!(event, Event::Tick) {
            return;
        }
        while let Some(id) = board.watches.pop_due(board.now) {
            look(board, id, out);
        }
    }
}

fn look(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) {
    let Some(attempt) = board.requests.attempt(id) else { return };
    let now = board.now;
    if now >= silent_at(board, attempt) {
        board.counters.silent_attempts += 1;
        stages::give_up(board, id, FailureKind::Silent, out);
        return;
    }
    if attempt.hedge_at.is_some_and(|at| at <= now) {
        hedges::hedge(board, id, out);
    } else if may_retry_late(board, attempt) {
        stages::give_up(board, id, FailureKind::Late, out);
        return;
    }
    pass(board, id);
}

/// Notes what was looked at, and looks again when there is more.
fn pass(board: &mut Blackboard, id: AttemptId) {
    let now = board.now;
    let Some(attempt) = board.requests.attempt_mut(id) else { return };
    attempt.hedge_at = attempt.hedge_at.filter(|at| *at > now);
    if attempt.share_ends <= now {
        attempt.share_ends = attempt.ends;
    }
    let Some(attempt) = board.requests.attempt(id) else { return };
    // Never in this same look, which would then not end.
    let next = next_look(board, attempt).max(now + Duration::from_millis(1));
    board.watches.set(id, next);
}

/// Whether an attempt has used up its share, and another one is affordable.
fn may_retry_late(board: &Blackboard, attempt: &AttemptRecord) -> bool {
    let late = !attempt.streams && !attempt.claimed && board.now >= attempt.share_ends;
    let again = board
        .requests
        .get(&attempt.key)
        .is_some_and(|record| record.running.len() == 1 && record.stage_attempts < board.tuning.most_attempts);
    late && again && board.budget.is_affordable() && board.ready.any(&attempt.service)
}

/// When an attempt is looked at next, if it makes no further progress.
#[must_use]
pub fn next_look(board: &Blackboard, attempt: &AttemptRecord) -> Moment {
    let silent = silent_at(board, attempt);
    let share = if attempt.streams || attempt.claimed { silent } else { attempt.share_ends };
    silent.min(share).min(attempt.hedge_at.unwrap_or(silent))
}

/// When an attempt that makes no further progress is given up.
///
/// Only a request that may be sent again is given up early: for a claimed one nothing would be gained.
fn silent_at(board: &Blackboard, attempt: &AttemptRecord) -> Moment {
    if !attempt.streams || attempt.claimed {
        return attempt.ends;
    }
    let bound = if attempt.tokens == 0 { board.tuning.first_token_silence } else { board.tuning.stream_silence };
    attempt.ends.min(attempt.progress + bound)
}
