//! How warm a target is taken to be: its limit rises in steps that it must earn, and falls at once.
//!
//! Each node learns for itself. News from peers only ever lowers a limit, so a mistake of one node
//! never adds load at another.

use std::time::Duration;

use crate::clock::Moment;
use crate::names::InstanceId;
use crate::outcome::LoadReport;
use crate::tuning::Tuning;

/// A call that succeeded, as evidence of what its target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedCall {
    /// When it was sent.
    pub started: Moment,
    /// Time to its answer, for a stream to its first token.
    pub took: Duration,
}

/// Latency that is usual at one step of the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct StepLatency {
    smoothed_ms: f64,
    samples: u32,
}

impl StepLatency {
    const SMOOTHING: f64 = 0.1;
    /// Weight of slow calls: the usual follows a lasting change, but not a target that just turned cold.
    const SLOW_SMOOTHING: f64 = 0.01;
    const ENOUGH: u32 = 8;

    fn learn(&mut self, took_ms: f64, slow: bool) {
        let early = 1.0 / f64::from(self.samples + 1);
        let weight = if slow { Self::SLOW_SMOOTHING } else { Self::SMOOTHING.max(early) };
        self.smoothed_ms += weight * (took_ms - self.smoothed_ms);
        self.samples = self.samples.saturating_add(1);
    }

    fn is_known(self) -> bool {
        self.samples >= Self::ENOUGH
    }
}

/// What is known of the warmth of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmthState {
    limit: u32,
    bounds: (u32, u32),
    instance: InstanceId,
    /// The instance before, whose late reports say nothing any more.
    former: InstanceId,
    step_since: Moment,
    /// Calls that were sent at this step and went well.
    served: u32,
    slow_in_a_row: u32,
    confirmed: Moment,
    last_success: Moment,
    said_warm: bool,
    reported_at: Moment,
    latencies: [StepLatency; Self::STEPS],
}

impl WarmthState {
    /// Steps of a limit that doubles: enough for any 32-bit limit.
    const STEPS: usize = 33;
    /// Slow calls in a row that make a target cold.
    const SLOW_CALLS: u32 = 3;
    /// Differences in latency below this are noise.
    const LATENCY_NOISE_MS: f64 = 20.0;

    /// A cold target with a limit between `bounds`.
    #[must_use]
    pub fn new(bounds: (u32, u32), now: Moment) -> Self {
        Self {
            limit: bounds.0,
            bounds,
            instance: InstanceId::default(),
            former: InstanceId::default(),
            step_since: now,
            served: 0,
            slow_in_a_row: 0,
            confirmed: now,
            last_success: now,
            said_warm: false,
            reported_at: Moment::default(),
            latencies: [StepLatency::default(); Self::STEPS],
        }
    }

    /// Takes over the bounds of a new document.
    pub fn rebound(&mut self, bounds: (u32, u32)) {
        self.bounds = bounds;
        self.limit = self.limit.clamp(bounds.0, bounds.1.max(bounds.0));
    }

    /// The limit that was learnt last.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// The limit of a warm target.
    #[must_use]
    pub fn warm_limit(&self) -> u32 {
        self.bounds.1
    }

    /// The instance, zero until known.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.instance
    }

    /// Whether the limit is above that of a cold target, but nothing has confirmed it for too long.
    #[must_use]
    pub fn is_stale(&self, tuning: &Tuning, now: Moment) -> bool {
        let unheard = now.since(self.confirmed) > tuning.belief_for;
        let idle = now.since(self.last_success) > tuning.idle_cold_after;
        self.limit > self.bounds.0 && (unheard || idle)
    }

    /// The limit to use now: that of a cold target if what was learnt is stale.
    #[must_use]
    pub fn limit_at(&self, tuning: &Tuning, now: Moment) -> u32 {
        if self.is_stale(tuning, now) { self.bounds.0 } else { self.limit }
    }

    /// Whether the target is in a cold start as far as known: it has earned nothing, and does not call
    /// itself warm.
    #[must_use]
    pub fn seems_cold(&self, tuning: &Tuning, now: Moment) -> bool {
        self.bounds.0 < self.bounds.1 && self.limit_at(tuning, now) <= self.bounds.0 && !self.said_warm
    }

    /// Starts the ramp anew.
    pub fn turn_cold(&mut self, now: Moment) {
        self.start_step(self.bounds.0, now);
    }

    /// Takes over news of a peer that the target is cold; `instance` is zero if the peer does not know it.
    pub fn hear_cold(&mut self, instance: InstanceId, now: Moment) {
        self.adopt(instance);
        self.turn_cold(now);
    }

    /// Steps down: the target bears less than it was taken to.
    pub fn step_down(&mut self, now: Moment) {
        self.start_step((self.limit / 2).max(self.bounds.0), now);
    }

    /// Learns from what the target says of itself; tells whether it turned cold by that.
    pub fn learn_report(&mut self, report: &LoadReport, now: Moment) -> bool {
        let true_at = now - Duration::from_millis(u64::from(report.age_ms));
        let unknown = report.instance == InstanceId::default();
        let late = true_at < self.reported_at || (!unknown && report.instance == self.former);
        if late {
            return false;
        }
        self.reported_at = true_at;
        if report.warm {
            self.confirmed = self.confirmed.max(true_at);
        }
        let restarted = self.adopt(report.instance);
        let cooled = self.said_warm && !report.warm;
        self.said_warm = report.warm;
        if restarted || cooled {
            self.turn_cold(now);
        }
        restarted || cooled
    }

    /// Learns from a call that went well; tells whether the target turned cold by its latency.
    pub fn learn_success(&mut self, call: ServedCall, tuning: &Tuning, now: Moment) -> bool {
        if self.is_stale(tuning, now) {
            self.turn_cold(now);
        }
        self.confirmed = now;
        self.last_success = now;
        let slow = self.learn_latency(call, tuning);
        self.slow_in_a_row = if slow { self.slow_in_a_row + 1 } else { 0 };
        if self.slow_in_a_row >= Self::SLOW_CALLS {
            let was_above = self.limit > self.bounds.0;
            self.turn_cold(now);
            return was_above;
        }
        if !slow {
            self.count_served(call.started, tuning, now);
        }
        false
    }

    /// Learns from a stream that has flowed for as long as a step lasts; tells whether the limit rose.
    pub fn learn_flowing(&mut self, started: Moment, tuning: &Tuning, now: Moment) -> bool {
        if self.is_stale(tuning, now) {
            self.turn_cold(now);
        }
        let before = self.limit;
        self.confirmed = now;
        self.last_success = now;
        self.count_served(started, tuning, now);
        self.limit > before
    }

    fn count_served(&mut self, started: Moment, tuning: &Tuning, now: Moment) {
        // A call that was sent at a lower step says nothing of this one.
        if started < self.step_since {
            return;
        }
        self.served += 1;
        let earned = self.served >= tuning.ramp_calls && now.since(self.step_since) >= tuning.ramp_step;
        if earned && self.limit < self.bounds.1 {
            self.start_step((self.limit * 2).min(self.bounds.1), now);
        }
    }

    /// Compares a latency with what is usual at this step, or at the one below; tells whether it is slow.
    fn learn_latency(&mut self, call: ServedCall, tuning: &Tuning) -> bool {
        let took_ms = call.took.as_secs_f64() * 1_000.0;
        let step = self.limit.checked_ilog2().map_or(0, |step| step as usize);
        let own = self.latencies[step];
        let below = self.latencies[step.saturating_sub(1)];
        let usual = [own, below].into_iter().find(|latency| latency.is_known());
        let bound = usual.map(|usual| usual.smoothed_ms * tuning.slow_factor + Self::LATENCY_NOISE_MS);
        let slow = bound.is_some_and(|bound| took_ms > bound);
        self.latencies[step].learn(took_ms, slow && own.is_known());
        slow
    }

    fn start_step(&mut self, limit: u32, now: Moment) {
        self.limit = limit;
        self.step_since = now;
        self.served = 0;
        self.slow_in_a_row = 0;
        self.last_success = self.last_success.max(now);
        self.confirmed = self.confirmed.max(now);
    }

    /// Takes over an instance; tells whether it replaced another.
    fn adopt(&mut self, instance: InstanceId) -> bool {
        if instance == InstanceId::default() || instance == self.instance || instance == self.former {
            return false;
        }
        self.former = self.instance;
        self.instance = instance;
        self.former != InstanceId::default()
    }
}
