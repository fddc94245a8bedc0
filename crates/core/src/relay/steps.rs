//! Decides what happens after an attempt: pass its answer on, retry the request, or report a failure to the caller.

use std::time::Duration;

use crate::relay::document::RetryPolicy;

/// How an attempt failed, as far as it decides the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The target reports that it did not run the request.
    NotRun,
    /// The target reports that the inputs no longer exist. It did not run the request.
    InputsGone,
    /// No answer was received. The request may have run.
    Lost,
    /// The received bytes are not an answer to this request.
    Garbled,
    /// The target answered with a failure of its own.
    Failed,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// Send the request to another target.
    Again,
    /// Run the preparation stages again, then send the request.
    Prepare,
    /// Report that the request has not run.
    Refuse,
    /// Report that the outcome is unknown.
    Fail,
    /// Pass the target's failure on to the caller.
    Relay,
}

/// Counts of the failed attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Number of targets that may have run the request.
    pub may_have_run: u32,
    /// Number of attempts that did not run.
    pub not_run: u32,
    /// Number of times that inputs were found missing.
    pub prepared_again: u32,
}

impl AttemptTally {
    /// Number of attempts that did not run after which the request is refused. Further ones would be as likely to fail.
    const MAX_NOT_RUN: u32 = 4;

    /// Counts the end of an attempt and returns the next step. `affordable` is whether the retry budget allows a retry.
    pub fn decide(&mut self, kind: RetryPolicy, end: AttemptEnd, max_attempts: u32, affordable: bool) -> NextStep {
        match end {
            AttemptEnd::NotSent | AttemptEnd::NotRun => {
                self.not_run += 1;
                let is_retried = self.not_run < Self::MAX_NOT_RUN && (affordable || end == AttemptEnd::NotSent);
                if is_retried { NextStep::Again } else { self.give_up_step() }
            }
            AttemptEnd::InputsGone => {
                self.prepared_again += 1;
                if self.prepared_again == 1 && affordable { NextStep::Prepare } else { self.give_up_step() }
            }
            AttemptEnd::Lost | AttemptEnd::Garbled => {
                self.may_have_run += 1;
                let is_retried = kind.is_retryable() && self.may_have_run < max_attempts && affordable;
                if is_retried { NextStep::Again } else { NextStep::Fail }
            }
            AttemptEnd::Failed => {
                self.may_have_run += 1;
                let is_retried = kind.is_retryable() && self.may_have_run < max_attempts && affordable;
                if is_retried { NextStep::Again } else { NextStep::Relay }
            }
        }
    }

    /// Returns whether the next step after `end` would be a retry if the budget allowed one. `NotSent` does not use the
    /// budget.
    #[must_use]
    pub fn wants_retry(&self, kind: RetryPolicy, end: AttemptEnd, max_attempts: u32) -> bool {
        let mut tally = *self;
        end != AttemptEnd::NotSent
            && matches!(tally.decide(kind, end, max_attempts, true), NextStep::Again | NextStep::Prepare)
    }

    /// Returns whether none of the counted attempts can have run the request.
    #[must_use]
    pub fn has_not_run(&self) -> bool {
        self.may_have_run == 0
    }

    /// Returns the step that ends the request without an answer from a target.
    fn give_up_step(self) -> NextStep {
        if self.has_not_run() { NextStep::Refuse } else { NextStep::Fail }
    }
}

/// Timeouts after which a silent target is abandoned for another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilenceTimeouts {
    /// Fraction of the latency objective that an answer may take before another target is tried.
    pub objective_ratio: f64,
    /// Multiple of the target's average response time that an answer may take.
    pub usual_time_factor: f64,
    /// Minimum timeout for the first event of a stream. The engine may process prompts of other requests first.
    pub min_first_event_timeout: Duration,
    /// Maximum pause between events. Callers tolerate pauses of two seconds and more.
    pub event_timeout: Duration,
}

impl Default for SilenceTimeouts {
    fn default() -> Self {
        Self {
            objective_ratio: 0.8,
            usual_time_factor: 4.0,
            min_first_event_timeout: Duration::from_secs(2),
            event_timeout: Duration::from_millis(1_200),
        }
    }
}

impl SilenceTimeouts {
    /// Returns the timeout for the first part of an answer, or `None` if the target has until the deadline.
    ///
    /// `average_ms` is the target's average response time. `read` is the time in which an engine processes the queued
    /// prompts and that of the request.
    #[must_use]
    pub fn first_part_timeout(
        &self,
        kind: RetryPolicy,
        objective: Duration,
        average_ms: f64,
        read: Duration,
    ) -> Option<Duration> {
        if !kind.is_retryable() {
            return None;
        }
        let average_timeout = Duration::from_secs_f64(average_ms * self.usual_time_factor / 1e3);
        let min_timeout = if kind.is_stream() { self.min_first_event_timeout } else { Duration::ZERO };
        // Twice the time for prompts: concurrent streams and prompts from other nodes slow the engine down.
        Some(objective.mul_f64(self.objective_ratio).max(average_timeout).max(min_timeout) + read * 2)
    }

    /// Returns the timeout for the next event, or `None` if the target has until the deadline.
    #[must_use]
    pub fn next_event_timeout(&self, kind: RetryPolicy) -> Option<Duration> {
        kind.is_retryable().then_some(self.event_timeout)
    }
}
