//! What targets say of their load in their answers, and what it says about calls that start later.
//!
//! A target that shares its VM with others states by how much its work time differs from the usual one at this moment.
//! The figure changes many times a second. Two averages hold what it said: one of the last moments, which matters to
//! short calls only, and one of the last seconds.

use std::time::Duration;

use crate::clock::Moment;

/// The load that a target stated in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of calls of all nodes that the target runs.
    pub running: u32,
    /// Number of calls of all nodes that wait at the target.
    pub waiting: u32,
    /// Number of calls that the target runs at once.
    pub slots: u32,
    /// Work time at this moment in per cent of the usual one, if the target states it.
    pub work_time_percent: Option<u32>,
}

/// What an answer says about the load of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// The answer says nothing.
    #[default]
    Absent,
    /// The answer states the load.
    Stated(ReportedLoad),
    /// The answer says something that cannot be decoded.
    Malformed,
}

/// A moving average of the work time in per cent, as a deviation that decays.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DecayingAverage {
    deviation: f64,
    /// Time constant of the decay in milliseconds.
    time_constant_ms: f64,
}

impl DecayingAverage {
    /// Minimum weight of a value, for values that follow each other at once.
    const MIN_WEIGHT: f64 = 0.05;

    fn new(time_constant: Duration) -> Self {
        Self { deviation: 0.0, time_constant_ms: time_constant.as_secs_f64() * 1e3 }
    }

    /// Adds a value that was measured `elapsed_ms` after the last one.
    fn add(&mut self, deviation: f64, elapsed_ms: f64) {
        let kept = (-elapsed_ms / self.time_constant_ms).exp();
        let weight = (1.0 - kept).max(Self::MIN_WEIGHT);
        self.deviation += (deviation - self.deviation) * weight;
    }

    /// Returns the mean deviation over a call of `call_ms` that starts when the average is `age_ms` old.
    fn mean_over(self, age_ms: f64, call_ms: f64) -> f64 {
        let length = call_ms / self.time_constant_ms;
        let mean_decay = if length > 1e-6 { (1.0 - (-length).exp()) / length } else { 1.0 };
        self.deviation * (-age_ms / self.time_constant_ms).exp() * mean_decay
    }
}

/// What a target with a work-time figure has said about its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHistory {
    /// Deviation from the slow average.
    fast: DecayingAverage,
    /// Deviation from the usual work time.
    slow: DecayingAverage,
    others: u32,
    concurrency: u32,
    reported_at: Moment,
}

impl LoadHistory {
    /// Time constant of the fast average. The figure changes many times a second.
    const FAST_TIME: Duration = Duration::from_millis(100);
    /// Time constant of the slow average.
    const SLOW_TIME: Duration = Duration::from_secs(3);
    /// Time for which the number of calls at the target counts as known: some call times.
    const FRESH_TIME: Duration = Duration::from_millis(500);
    /// Lower and upper bound of the work time in per cent. A figure beyond them is no plausible work time.
    const PERCENT_BOUNDS: (f64, f64) = (10.0, 2_000.0);

    /// Returns the history of a target that states its work time for the first time.
    #[must_use]
    pub fn new(load: ReportedLoad, own_calls: u32, now: Moment) -> Option<Self> {
        let percent = load.work_time_percent?;
        let mut history = Self {
            fast: DecayingAverage::new(Self::FAST_TIME),
            slow: DecayingAverage::new(Self::SLOW_TIME),
            others: 0,
            concurrency: 0,
            reported_at: now,
        };
        // The first value counts as if it had held for one time constant of the slow average.
        history.add(load, percent, own_calls, Self::SLOW_TIME, now);
        Some(history)
    }

    /// Records the load that the target stated at `now`, when this node had `own_calls` in flight there. A load without
    /// the work time is ignored.
    pub fn record(&mut self, load: ReportedLoad, own_calls: u32, now: Moment) {
        if let Some(percent) = load.work_time_percent {
            self.add(load, percent, own_calls, now.since(self.reported_at), now);
        }
    }

    fn add(&mut self, load: ReportedLoad, percent: u32, own_calls: u32, elapsed: Duration, now: Moment) {
        let percent = f64::from(percent).clamp(Self::PERCENT_BOUNDS.0, Self::PERCENT_BOUNDS.1);
        let elapsed_ms = elapsed.as_secs_f64() * 1e3;
        self.slow.add(percent - 100.0, elapsed_ms);
        self.fast.add(percent - 100.0 - self.slow.deviation, elapsed_ms.max(Self::FAST_TIME.as_secs_f64() * 1e3));
        // The call that is being answered is in flight still, but may not run any longer.
        self.concurrency = load.running.saturating_add(load.waiting);
        self.others = self.concurrency.saturating_sub(own_calls);
        self.reported_at = now;
    }

    /// Returns the expected work time of a call that starts at `now` and takes `call_time`, in per cent of the usual one.
    /// The older the figures and the longer the call, the nearer it is to 100.
    #[must_use]
    pub fn expected_percent(&self, call_time: Duration, now: Moment) -> f64 {
        let (age_ms, call_ms) = (now.since(self.reported_at).as_secs_f64() * 1e3, call_time.as_secs_f64() * 1e3);
        let percent = 100.0 + self.slow.mean_over(age_ms, call_ms) + self.fast.mean_over(age_ms, call_ms);
        percent.clamp(Self::PERCENT_BOUNDS.0, Self::PERCENT_BOUNDS.1)
    }

    /// Returns the number of other nodes' calls at the target, or `None` if it was stated too long ago.
    #[must_use]
    pub fn other_calls(&self, now: Moment) -> Option<u32> {
        (self.age(now) <= Self::FRESH_TIME).then_some(self.others)
    }

    /// Returns the number of calls that ran or waited at the target when it last stated its load.
    #[must_use]
    pub fn concurrency(&self) -> u32 {
        self.concurrency
    }

    /// Returns the time since the target stated its load.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.reported_at)
    }
}
