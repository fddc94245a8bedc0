//! The concurrency limit of a target, derived from how warm the target is estimated to be.
//!
//! A cold target, such as one that has just started, serves slowly and takes fewer calls at once than later. Its limit
//! is then the service's cold limit, and rises to the warm limit as it warms up.
//!
//! The limit rises in steps, each after enough successful calls at the current step, and falls at once.
//! Each node estimates for itself. Reports from peers only ever lower a limit, so a mistake of one node
//! never adds load at another.

use std::time::Duration;

use crate::clock::Moment;
use crate::names::InstanceId;
use crate::outcome::LoadReport;
use crate::tuning::Tuning;

/// A successful call, as evidence of the load that its target can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedCall {
    /// The moment at which the call was sent.
    pub started: Moment,
    /// The time to the answer, or for a stream to the first token.
    pub took: Duration,
}

/// The baseline latency at one step of the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct StepLatency {
    /// Moving average of the latency in milliseconds.
    smoothed_ms: f64,
    samples: u32,
}

impl StepLatency {
    /// Minimum weight of a sample that is not slow. While there are few samples, each weighs as in their mean.
    const SMOOTHING_FACTOR: f64 = 0.1;
    /// Weight of a slow sample. It is so low that the baseline follows a lasting change, but not a target that just
    /// turned cold.
    const SLOW_CALL_SMOOTHING_FACTOR: f64 = 0.01;
    /// Number of samples from which the baseline is used.
    const MIN_SAMPLES: u32 = 8;

    fn add_sample(&mut self, took_ms: f64, is_slow: bool) {
        let mean_weight = 1.0 / f64::from(self.samples + 1);
        let weight = if is_slow { Self::SLOW_CALL_SMOOTHING_FACTOR } else { Self::SMOOTHING_FACTOR.max(mean_weight) };
        self.smoothed_ms += weight * (took_ms - self.smoothed_ms);
        self.samples = self.samples.saturating_add(1);
    }

    fn is_known(self) -> bool {
        self.samples >= Self::MIN_SAMPLES
    }
}

/// The warmth estimate of one target, and the limit that follows from it.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmthState {
    limit: u32,
    /// The cold and the warm limit.
    limit_bounds: (u32, u32),
    /// The target's current instance, or zero if it is unknown.
    instance: InstanceId,
    /// The previous instance, whose late reports are ignored.
    previous_instance: InstanceId,
    /// The moment at which the limit was last set.
    step_started_at: Moment,
    /// Number of calls that were sent at the current step and succeeded.
    served_at_step: u32,
    consecutive_slow_calls: u32,
    /// The moment of the last success, warm report or change of the limit.
    confirmed_at: Moment,
    /// The moment of the last success or change of the limit.
    last_success_at: Moment,
    /// Whether the target's last report said that it is warm.
    reported_warm: bool,
    /// The moment at which the target's last report was measured.
    report_measured_at: Moment,
    /// The baseline latency at each step, by the binary logarithm of the limit.
    latencies: [StepLatency; Self::STEP_COUNT],
}

impl WarmthState {
    /// Number of steps of a limit that doubles at each: enough for any 32-bit limit.
    const STEP_COUNT: usize = 33;
    /// Number of consecutive slow calls after which a target counts as cold.
    const COLD_AFTER_SLOW_CALLS: u32 = 3;
    /// Difference in latency, in milliseconds, up to which a deviation counts as noise.
    const LATENCY_NOISE_MS: f64 = 20.0;

    /// Returns the state of a cold target whose limit stays within `limit_bounds`, the cold and the warm limit.
    #[must_use]
    pub fn new(limit_bounds: (u32, u32), now: Moment) -> Self {
        Self {
            limit: limit_bounds.0,
            limit_bounds,
            instance: InstanceId::default(),
            previous_instance: InstanceId::default(),
            step_started_at: now,
            served_at_step: 0,
            consecutive_slow_calls: 0,
            confirmed_at: now,
            last_success_at: now,
            reported_warm: false,
            report_measured_at: Moment::default(),
            latencies: [StepLatency::default(); Self::STEP_COUNT],
        }
    }

    /// Sets the cold and the warm limit, and clamps the current limit to them.
    pub fn set_limit_bounds(&mut self, bounds: (u32, u32)) {
        self.limit_bounds = bounds;
        self.limit = self.limit.clamp(bounds.0, bounds.1.max(bounds.0));
    }

    /// Returns the current limit in calls in flight, even if it is stale.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the limit of the target when warm, in calls in flight.
    #[must_use]
    pub fn warm_limit(&self) -> u32 {
        self.limit_bounds.1
    }

    /// Returns the target's instance, or zero if it is unknown.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.instance
    }

    /// Returns whether the limit is above the cold limit although the target was neither successful nor reported as
    /// warm within `warmth_timeout`, or had no success within `idle_cold_after`.
    #[must_use]
    pub fn is_stale(&self, tuning: &Tuning, now: Moment) -> bool {
        let is_unconfirmed = now.since(self.confirmed_at) > tuning.warmth_timeout;
        let is_idle = now.since(self.last_success_at) > tuning.idle_cold_after;
        self.limit > self.limit_bounds.0 && (is_unconfirmed || is_idle)
    }

    /// Returns the limit in force at `now`: the cold limit if the current one is stale.
    #[must_use]
    pub fn limit_at(&self, tuning: &Tuning, now: Moment) -> u32 {
        if self.is_stale(tuning, now) { self.limit_bounds.0 } else { self.limit }
    }

    /// Returns whether the target appears to be in a cold start: its limit is the cold limit, and it does not report
    /// itself as warm. A target whose cold and warm limits are equal never appears so.
    #[must_use]
    pub fn seems_cold(&self, tuning: &Tuning, now: Moment) -> bool {
        self.limit_bounds.0 < self.limit_bounds.1
            && self.limit_at(tuning, now) <= self.limit_bounds.0
            && !self.reported_warm
    }

    /// Resets the limit to the cold limit.
    pub fn turn_cold(&mut self, now: Moment) {
        self.start_step(self.limit_bounds.0, now);
    }

    /// Handles a peer's report that the target is cold. `instance` is zero if the peer does not know it.
    pub fn apply_peer_cold_report(&mut self, instance: InstanceId, now: Moment) {
        self.record_instance(instance);
        self.turn_cold(now);
    }

    /// Halves the limit, down to the cold limit: the target can take less load than estimated.
    pub fn halve_limit(&mut self, now: Moment) {
        self.start_step((self.limit / 2).max(self.limit_bounds.0), now);
    }

    /// Records a load report of the target. Ignores reports older than the last one and those of the previous instance.
    ///
    /// Returns whether the report shows a restart or that a warm target is no longer warm. Either resets the limit.
    pub fn record_load_report(&mut self, report: &LoadReport, now: Moment) -> bool {
        let measured_at = now - Duration::from_millis(u64::from(report.age_ms));
        let has_no_instance = report.instance == InstanceId::default();
        let is_outdated =
            measured_at < self.report_measured_at || (!has_no_instance && report.instance == self.previous_instance);
        if is_outdated {
            return false;
        }
        self.report_measured_at = measured_at;
        if report.warm {
            self.confirmed_at = self.confirmed_at.max(measured_at);
        }
        let is_restarted = self.record_instance(report.instance);
        let is_cooled = self.reported_warm && !report.warm;
        self.reported_warm = report.warm;
        if is_restarted || is_cooled {
            self.turn_cold(now);
        }
        is_restarted || is_cooled
    }

    /// Records a successful call, which may raise the limit. The last of several slow calls in a row resets the limit;
    /// returns whether it was above the cold limit then.
    pub fn record_success(&mut self, call: ServedCall, tuning: &Tuning, now: Moment) -> bool {
        if self.is_stale(tuning, now) {
            self.turn_cold(now);
        }
        self.confirmed_at = now;
        self.last_success_at = now;
        let is_slow = self.record_latency(call, tuning);
        self.consecutive_slow_calls = if is_slow { self.consecutive_slow_calls + 1 } else { 0 };
        if self.consecutive_slow_calls >= Self::COLD_AFTER_SLOW_CALLS {
            let was_above_cold_limit = self.limit > self.limit_bounds.0;
            self.turn_cold(now);
            return was_above_cold_limit;
        }
        if !is_slow {
            self.record_served(call.started, tuning, now);
        }
        false
    }

    /// Records a stream that has sent tokens for the duration of a step. Returns whether the limit rose.
    pub fn record_stream_progress(&mut self, started: Moment, tuning: &Tuning, now: Moment) -> bool {
        if self.is_stale(tuning, now) {
            self.turn_cold(now);
        }
        let limit_before = self.limit;
        self.confirmed_at = now;
        self.last_success_at = now;
        self.record_served(started, tuning, now);
        self.limit > limit_before
    }

    /// Counts a successful call at the current step, and raises the limit if the step is complete.
    fn record_served(&mut self, started: Moment, tuning: &Tuning, now: Moment) {
        // A call that was sent at a lower step is no evidence for the current one.
        if started < self.step_started_at {
            return;
        }
        self.served_at_step += 1;
        let is_step_complete =
            self.served_at_step >= tuning.ramp_calls && now.since(self.step_started_at) >= tuning.ramp_step_duration;
        if is_step_complete && self.limit < self.limit_bounds.1 {
            self.start_step((self.limit * 2).min(self.limit_bounds.1), now);
        }
    }

    /// Records a call's latency. Returns whether it is slow against the baseline of the current step, or of the step
    /// below while the current one has none.
    fn record_latency(&mut self, call: ServedCall, tuning: &Tuning) -> bool {
        let took_ms = call.took.as_secs_f64() * 1_000.0;
        let step = self.limit.checked_ilog2().map_or(0, |step| step as usize);
        let own = self.latencies[step];
        let below = self.latencies[step.saturating_sub(1)];
        let baseline = [own, below].into_iter().find(|latency| latency.is_known());
        let max_latency_ms =
            baseline.map(|baseline| baseline.smoothed_ms * tuning.slow_factor + Self::LATENCY_NOISE_MS);
        let is_slow = max_latency_ms.is_some_and(|max_ms| took_ms > max_ms);
        self.latencies[step].add_sample(took_ms, is_slow && own.is_known());
        is_slow
    }

    /// Sets the limit and starts counting calls at its step. The limit then counts as confirmed for the usual time.
    fn start_step(&mut self, limit: u32, now: Moment) {
        self.limit = limit;
        self.step_started_at = now;
        self.served_at_step = 0;
        self.consecutive_slow_calls = 0;
        self.last_success_at = self.last_success_at.max(now);
        self.confirmed_at = self.confirmed_at.max(now);
    }

    /// Records the target's instance, unless it is zero (unknown) or the previous one. Returns whether it replaced
    /// another one.
    fn record_instance(&mut self, instance: InstanceId) -> bool {
        if instance == InstanceId::default() || instance == self.instance || instance == self.previous_instance {
            return false;
        }
        self.previous_instance = self.instance;
        self.instance = instance;
        self.previous_instance != InstanceId::default()
    }
}
