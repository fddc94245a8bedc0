//! What comes after an attempt: pass its answer on, send the request again, or tell the caller.

use std::time::Duration;

use crate::relay::document::RepeatKind;

/// How an attempt ended, as far as it decides what comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// No byte of the request left.
    NotSent,
    /// The target says that it did not run the request.
    NotRun,
    /// The target's inputs are gone; it did not run the request.
    InputsGone,
    /// The request may have run, and no answer came.
    Lost,
    /// What came is not an answer to this request.
    Garbled,
    /// The target answered with a failure of its own.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// Send it to another target.
    Again,
    /// Make the inputs again, then send it.
    Prepare,
    /// Say that it has not run.
    Refuse,
    /// Say that its outcome is not known.
    Fail,
    /// Pass the target's failure on.
    Relay,
}

/// What has happened to a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Targets that may have run it.
    pub may_have_run: u32,
    /// Attempts that did not run.
    pub not_run: u32,
    /// Times that its inputs were made again.
    pub prepared_again: u32,
}

impl AttemptTally {
    /// Attempts that did not run after which a request is refused: further ones would be as likely to fail.
    const MOST_NOT_RUN: u32 = 4;

    /// Counts an end and decides; `affordable` says whether a repeat may be spent.
    pub fn decide(&mut self, kind: RepeatKind, end: AttemptEnd, most_attempts: u32, affordable: bool) -> NextStep {
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => {
                self.not_run += 1;
                let again = self.not_run < Self::MOST_NOT_RUN && (affordable || end == AttemptEnd::NotSent);
                if again { NextStep::Again } else { self.give_up() }
            }
            AttemptEnd::InputsGone => {
                self.prepared_again += 1;
                if self.prepared_again == 1 && affordable { NextStep::Prepare } else { self.give_up() }
            }
            AttemptEnd::Lost | AttemptEnd::Garbled => {
                self.may_have_run += 1;
                let again = kind.is_repeatable() && self.may_have_run < most_attempts && affordable;
                if again { NextStep::Again } else { NextStep::Fail }
            }
            AttemptEnd::Failed => {
                self.may_have_run += 1;
                let again = kind.is_repeatable() && self.may_have_run < most_attempts && affordable;
                if again { NextStep::Again } else { NextStep::Relay }
            }
        }
    }

    /// Whether a repeat would be made after this end if it may be spent.
    #[must_use]
    pub fn wants_repeat(&self, kind: RepeatKind, end: AttemptEnd, most_attempts: u32) -> bool {
        let mut after = *self;
        end != AttemptEnd::NotSent
            && matches!(after.decide(kind, end, most_attempts, true), NextStep::Again | NextStep::Prepare)
    }

    /// Whether it is true that the request has not run, as far as its counted attempts go.
    #[must_use]
    pub fn has_not_run(&self) -> bool {
        self.may_have_run == 0
    }

    fn give_up(self) -> NextStep {
        if self.has_not_run() { NextStep::Refuse } else { NextStep::Fail }
    }
}

/// Times after which a silent target is given up for another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PatienceBounds {
    /// Part of the objective that an answer may take before another target is worth asking.
    pub objective_part: f64,
    /// Multiple of the target's usual time.
    pub usual_factor: f64,
    /// Shortest patience for the first event of a stream: prompts of others may be read before it.
    pub first_event: Duration,
    /// Longest pause between events; source: callers bear pauses of two seconds and more.
    pub event_pause: Duration,
}

impl Default for PatienceBounds {
    fn default() -> Self {
        Self {
            objective_part: 0.8,
            usual_factor: 4.0,
            first_event: Duration::from_secs(2),
            event_pause: Duration::from_millis(1_200),
        }
    }
}

impl PatienceBounds {
    /// Time that a target gets for the first part of its answer; none: until the deadline.
    #[must_use]
    ///
    /// `read` is the time in which an engine reads the prompts before the answer.
    pub fn first_part(&self, kind: RepeatKind, objective: Duration, usual_ms: f64, read: Duration) -> Option<Duration> {
        if !kind.is_repeatable() {
            return None;
        }
        let usual = Duration::from_secs_f64(usual_ms * self.usual_factor / 1e3);
        let shortest = if kind.is_stream() { self.first_event } else { Duration::ZERO };
        // Streams beside it and prompts that other nodes send take their part of the engine's time.
        Some(objective.mul_f64(self.objective_part).max(usual).max(shortest) + read * 2)
    }

    /// Time that a target gets for the next event; none: until the deadline.
    #[must_use]
    pub fn next_event(&self, kind: RepeatKind) -> Option<Duration> {
        kind.is_repeatable().then_some(self.event_pause)
    }
}
