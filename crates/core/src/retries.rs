//! Retries that wait for a backoff. Jitter spreads them out, so that requests that failed together are not retried
//! together.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
use crate::names::RequestKey;
use crate::requests::RequestState;
use crate::stages;

/// Keys of delayed requests, by the time at which the requests are queued again.
#[derive(Clone, Debug, Default)]
pub struct RetryTable {
    due: BTreeSet<(Moment, RequestKey)>,
}

impl RetryTable {
    /// Schedules that a request is queued again at the given time.
    pub fn schedule(&mut self, key: RequestKey, at: Moment) {
        self.due.insert((at, key));
    }

    fn pop_due(&mut self, now: Moment) -> Option<RequestKey> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, key)| key)
    }
}

/// Queues requests again when their backoff has passed.
#[derive(Debug, Default)]
pub struct RetryController;

impl Controller for RetryController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, _out: &mut Vec<Action>) {
        if !matches!(event, Event::Tick) {
            return;
        }
        while let Some(key) = board.retries.pop_due(board.now) {
            // The request may have ended in the meantime.
            if board.requests.get(&key).is_some_and(|record| record.state == RequestState::Delayed) {
                stages::requeue(board, &key);
            }
        }
    }
}

/// Returns the backoff before the retry that follows `attempts` attempts of a stage. It doubles with each attempt, up
/// to 256 times `Tuning::retry_base_delay`, and is multiplied by a random factor between 0.5 and 1.5.
#[must_use]
pub fn compute_backoff(board: &mut Blackboard, attempts: u32) -> Duration {
    let doubled = board.tuning.retry_base_delay * 2_u32.pow(attempts.saturating_sub(1).min(8));
    doubled.mul_f64(0.5 + board.random.f64())
}
