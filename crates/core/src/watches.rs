//! When to look at running attempts again: each may have gone silent, or run past its bound.

use std::collections::BTreeSet;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
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
    let silent_at = silent_at(board, attempt);
    if board.now < silent_at {
        board.watches.set(id, silent_at);
        return;
    }
    board.counters.silent_attempts += 1;
    stages::give_up(board, id, out);
}

/// When an attempt that makes no further progress is given up.
///
/// Only a request that may be sent again is given up early: for a claimed one nothing would be gained.
#[must_use]
pub fn silent_at(board: &Blackboard, attempt: &AttemptRecord) -> Moment {
    if !attempt.streams || attempt.claimed {
        return attempt.ends;
    }
    let bound = if attempt.tokens == 0 { board.tuning.first_token_silence } else { board.tuning.stream_silence };
    attempt.ends.min(attempt.progress + bound)
}
