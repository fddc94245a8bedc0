//! How limits follow from what a node learns of its targets.

use std::sync::Arc;
use std::time::Duration;

use super::{CallCounts, LimitCause, LimitChange, LimitStep, TimedAnswer};
use crate::clock::Moment;
use crate::names::{ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::rollout_board::CallOrigin;
use crate::relay::speed::SpeedTable;
use crate::relay::target_load::{LoadHistory, ReportedLoad};
use crate::relay::targets::{CallResult, TargetEntry, TargetRegistry, TargetView};

/// Time of an answer, and the work that it took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTiming {
    /// When the call was sent.
    pub sent_at: Moment,
    /// Time until the first part of the answer.
    pub took: Duration,
    /// Prompt tokens that the target had to read first, including those of other calls.
    pub tokens: u32,
    /// Time that the work is expected to take, if it is known otherwise, as for a batch of pieces.
    pub expected: Option<Duration>,
}

impl TargetView {
    /// Returns the limit on the calls of all nodes while the target starts or recovers, or `None` if it has none.
    #[must_use]
    pub fn start_limit(&self) -> Option<f64> {
        self.limiter.limit()
    }

    /// Returns the work time at this moment as a multiple of the usual one; 1 for a target that does not state it.
    #[must_use]
    pub fn work_time_ratio(&self, now: Moment) -> f64 {
        self.work_time_ratio_over(Duration::ZERO, now)
    }

    /// Returns the expected work time of a call that starts now and takes `call_time`, as a multiple of the usual one;
    /// 1 for a target that does not state it.
    #[must_use]
    pub fn work_time_ratio_over(&self, call_time: Duration, now: Moment) -> f64 {
        self.load.map_or(1.0, |load| load.expected_percent(call_time, now) / 100.0)
    }

    /// Returns the calls at the target. `position` is that of this node among those that may try the target first.
    #[must_use]
    pub fn call_counts(&self, position: usize, now: Moment) -> CallCounts {
        CallCounts {
            own: self.in_flight,
            stated_others: self.load.and_then(|load| load.other_calls(now)),
            reported_others: self.others_in_flight,
            position,
        }
    }

    /// Returns the number of calls of all nodes at the target, as the target and this node know it.
    fn concurrency(&self) -> u32 {
        self.in_flight.max(self.load.map_or(0, |load| load.concurrency()))
    }

    /// Returns whether a limit may apply to the target.
    fn is_limitable(&self) -> bool {
        self.load.is_some() || self.limiter.limit().is_some()
    }
}

impl TargetRegistry {
    /// Maximum number of changes that are kept for the log. Older ones are dropped.
    const MAX_LIMIT_CHANGES: usize = 200;
    /// Age of a stated load from which its target counts as stating none.
    const LOAD_LIFETIME: Duration = Duration::from_mins(1);

    /// Records the load that the target of `entry` stated at `now`. A target that states no work time has neither a load nor
    /// a limit.
    pub fn record_load(&mut self, entry: &TargetEntry, load: ReportedLoad, now: Moment) {
        let Some(view) = self.incarnation_mut(entry) else { return };
        if load.work_time_percent.is_none() {
            return self.forget_load(&entry.target, now);
        }
        let own_calls = view.in_flight;
        match &mut view.load {
            Some(history) => history.record(load, own_calls, now),
            None => view.load = LoadHistory::new(load, own_calls, now),
        }
    }

    fn forget_load(&mut self, target: &TargetName, now: Moment) {
        let Some(view) = self.get_mut(target) else { return };
        view.load = None;
        if std::mem::take(&mut view.limiter).limit().is_some() {
            self.push_limit_change(target, LimitStep::Ended, LimitCause::NoLoad, 0.0, now);
        }
    }

    /// Returns whether targets of `service` state their work time.
    pub(in crate::relay) fn states_work_time(&self, service: &ServiceName) -> bool {
        self.of(service).any(TargetView::is_limitable)
    }

    /// Starts the limit of a target of a service whose targets state their work time.
    pub(in crate::relay) fn start_limit(&mut self, target: &TargetName, cause: LimitCause, now: Moment) {
        if let Some(view) = self.get_mut(target) {
            let step = view.limiter.start(now);
            self.push_limit_change(target, step, cause, 0.0, now);
        }
    }

    /// Starts the limits of the targets for which `is_affected` holds and that state their work time.
    pub(in crate::relay) fn start_limits(
        &mut self,
        is_affected: impl Fn(&TargetView) -> bool,
        cause: LimitCause,
        now: Moment,
    ) {
        let affected = self.iter().filter(|view| view.is_limitable() && is_affected(view));
        let targets: Vec<TargetName> = affected.map(|view| view.entry.target.clone()).collect();
        for target in &targets {
            self.start_limit(target, cause, now);
        }
    }

    /// Records the result of a call as evidence about the limit of its target.
    pub(in crate::relay) fn record_limit_result(&mut self, target: &TargetName, result: CallResult, now: Moment) {
        let Some(view) = self.get_mut(target).filter(|view| view.is_limitable()) else { return };
        let concurrency = view.concurrency();
        let (step, cause) = match result {
            CallResult::Broken | CallResult::Garbled | CallResult::Unreachable => {
                (Some(view.limiter.start(now)), LimitCause::Failure)
            }
            CallResult::Full => (view.limiter.record_full(concurrency, now), LimitCause::Full),
            // A failure of the work itself shows no lack of room at a target that has no limit.
            CallResult::Faulty if view.limiter.limit().is_some() => {
                (view.limiter.record_full(concurrency, now), LimitCause::Failure)
            }
            CallResult::Good(_) => {
                if view.load.is_none_or(|load| load.age(now) > Self::LOAD_LIFETIME) {
                    self.forget_load(target, now);
                }
                return;
            }
            CallResult::Faulty | CallResult::Declined | CallResult::Replaced | CallResult::Unknown => return,
        };
        if let Some(step) = step {
            self.push_limit_change(target, step, cause, 0.0, now);
        }
    }

    /// Records the time of an answer as a multiple of the usual one, as evidence about the limit of its target.
    fn record_relative_time(&mut self, target: &TargetName, relative_time: f64, sent_at: Moment, now: Moment) {
        let Some(view) = self.get_mut(target) else { return };
        let answer = TimedAnswer { sent_at, relative_time, concurrency: view.concurrency() };
        let Some(step) = view.limiter.record_answer(answer, view.entry.slots, now) else { return };
        let cause = if step == LimitStep::Ended { LimitCause::OnTime } else { LimitCause::Late };
        self.push_limit_change(target, step, cause, relative_time, now);
    }

    fn push_limit_change(
        &mut self,
        target: &TargetName,
        step: LimitStep,
        cause: LimitCause,
        relative_time: f64,
        now: Moment,
    ) {
        let Some(view) = self.get(target) else { return };
        let change = LimitChange {
            target: target.clone(),
            step,
            cause,
            limit: view.limiter.limit().unwrap_or_default(),
            concurrency: view.concurrency(),
            relative_time,
            load_age: view.load.map(|load| load.age(now)),
        };
        if self.limit_changes.len() >= Self::MAX_LIMIT_CHANGES {
            self.limit_changes.pop_front();
        }
        self.limit_changes.push_back(change);
    }

    /// Returns the changes of limits since the last call, oldest first.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.limit_changes.drain(..).collect()
    }

    /// Returns the number of targets that have a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.iter().filter(|view| view.start_limit().is_some()).count()
    }
}

impl RelayBoard {
    /// Lower and upper bound of the part of an answer's time that the stated work time explains. A target that states
    /// more than twice the usual time has too little room for more calls, whatever the reason.
    const EXPLAINED_BOUNDS: (f64, f64) = (0.5, 2.0);

    /// Records the time of an answer of `target`. It counts where the target states its work time only.
    pub fn record_answer_time(&mut self, target: &TargetName, call: &CallOrigin, timing: AnswerTiming, now: Moment) {
        self.record_timed(target, &call.service, &call.route, timing, now);
    }

    /// Records that a target has read a prompt that another node sent by a grant of this node at `sent_at`.
    pub(in crate::relay) fn record_granted_answer(
        &mut self,
        target: &TargetName,
        sent_at: Moment,
        tokens: u32,
        now: Moment,
    ) {
        let Some(service) = self.targets.get(target).map(|view| view.entry.service.clone()) else { return };
        let timing = AnswerTiming { sent_at, took: now.since(sent_at), tokens, expected: None };
        self.record_timed(target, &service, &service.to_shared_str(), timing, now);
    }

    fn record_timed(
        &mut self,
        target: &TargetName,
        service: &ServiceName,
        route: &Arc<str>,
        timing: AnswerTiming,
        now: Moment,
    ) {
        let Some(view) = self.targets.get(target).filter(|view| view.load.is_some()) else { return };
        let is_limited = view.limiter.limit().is_some();
        let (low, high) = Self::EXPLAINED_BOUNDS;
        let explained = view.work_time_ratio_over(timing.took, now).clamp(low, high);
        let units = timing.expected.map_or_else(
            || {
                let tokens_per_ms = self.tuning.weights.tokens_per_ms;
                SpeedTable::relative_time(timing.took, timing.tokens, tokens_per_ms).as_secs_f64()
            },
            |expected| timing.took.as_secs_f64() / expected.as_secs_f64().max(1e-3),
        );
        let units = units / explained;
        if let Some(usual) = self.usual_times.get(service, route).filter(|usual| *usual > 0.0) {
            self.targets.record_relative_time(target, units / usual, timing.sent_at, now);
        }
        self.usual_times.record(service, route, units, is_limited);
    }
}
