//! Deadlines of requests. A request has one deadline over all its stages; the usual latency of each stage tells whether
//! the remaining time suffices, and which share of it a stage gets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::{Event, Priority};
use crate::names::ServiceName;
use crate::requests::RequestRecord;

/// Histogram of the latencies of one service's calls, with eight buckets for each doubling of the latency.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    buckets: [u32; Self::BUCKETS],
    total: u32,
    calls_since_summary: u32,
    summary: LatencySummary,
}

/// Mean and quantiles of the latencies of one service's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencySummary {
    /// Mean latency.
    pub mean: Duration,
    /// Latency that half of the calls stay within.
    pub median: Duration,
    /// Latency that 95 of 100 calls stay within.
    pub p95: Duration,
    /// Latency that 99 of 100 calls stay within.
    pub p99: Duration,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKETS], total: 0, calls_since_summary: 0, summary: LatencySummary::default() }
    }
}

impl LatencyHistogram {
    /// Number of buckets. They cover sixteen doublings from one millisecond, up to about a minute (65.5 s).
    const BUCKETS: usize = 128;
    /// Number of recorded calls below which there is no summary.
    const MIN_SAMPLES: u32 = 20;
    /// Number of counted calls at which all counts are halved, so that the histogram follows changes.
    const MAX_SAMPLES: u32 = 1_024;
    /// Maximum number of calls between two computations of the summary.
    const SUMMARY_INTERVAL_CALLS: u32 = 16;

    /// Records the latency of a call.
    pub fn record(&mut self, latency: Duration) {
        let octaves = (latency.as_millis().max(1) as f64).log2();
        let bucket = ((octaves * 8.0) as usize).min(Self::BUCKETS - 1);
        self.buckets[bucket] += 1;
        self.total += 1;
        self.calls_since_summary += 1;
        if self.total >= Self::MAX_SAMPLES {
            self.halve_counts();
        }
        if self.calls_since_summary >= Self::SUMMARY_INTERVAL_CALLS || self.total == Self::MIN_SAMPLES {
            self.calls_since_summary = 0;
            self.summary = LatencySummary {
                mean: self.mean(),
                median: self.quantile(0.5),
                p95: self.quantile(0.95),
                p99: self.quantile(0.99),
            };
        }
    }

    /// Returns the latency summary, or none if too few calls were recorded.
    #[must_use]
    pub fn summary(&self) -> Option<LatencySummary> {
        (self.total >= Self::MIN_SAMPLES).then_some(self.summary)
    }

    fn halve_counts(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.total = self.buckets.iter().sum();
    }

    fn mean(&self) -> Duration {
        let sum_ms: f64 = self
            .buckets
            .iter()
            .enumerate()
            .map(|(bucket, count)| f64::from(*count) * ((bucket as f64 + 0.5) / 8.0).exp2())
            .sum();
        Duration::from_secs_f64(sum_ms / f64::from(self.total) / 1_000.0)
    }

    /// Returns the upper edge of the bucket that holds the quantile `share`, which is between 0 and 1.
    fn quantile(&self, share: f64) -> Duration {
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut cumulative_count = 0;
        let bucket = self.buckets.iter().position(|count| {
            cumulative_count += count;
            cumulative_count >= rank
        });
        let octaves = (bucket.unwrap_or_default() + 1) as f64 / 8.0;
        Duration::from_secs_f64(octaves.exp2() / 1_000.0)
    }
}

/// Latencies of the calls of each service, and the number of calls to each that this node's own permits allow in
/// flight.
#[derive(Clone, Debug, Default)]
pub struct StageLatencies {
    histograms: BTreeMap<ServiceName, LatencyHistogram>,
    /// Number of calls that this node's own permits allow in flight at each service.
    capacities: BTreeMap<ServiceName, u32>,
}

impl StageLatencies {
    /// Records the duration of a call that finished or was abandoned. For an abandoned call this is a lower bound of
    /// its latency.
    pub fn record_latency(&mut self, service: &ServiceName, latency: Duration) {
        self.histograms.entry(service.clone()).or_default().record(latency);
    }

    /// Returns the latency summary of a service, or none if too few calls were recorded.
    #[must_use]
    pub fn latency_summary(&self, service: &ServiceName) -> Option<LatencySummary> {
        self.histograms.get(service)?.summary()
    }

    /// Returns the estimated time that a request takes to run through `stages`, without waits in queues. A stage of
    /// unknown latency counts as zero.
    ///
    /// If other requests wait for the same permits (`is_contended`), the estimate is the sum of the 95th percentiles,
    /// so that a permit goes to a request that will very probably finish in time. Otherwise the estimate is the sum of
    /// the medians, as an unused permit helps no request.
    #[must_use]
    pub fn time_needed(&self, stages: &[ServiceName], is_contended: bool) -> Duration {
        let latencies = stages.iter().filter_map(|stage| self.latency_summary(stage));
        latencies.map(|latency| if is_contended { latency.p95 } else { latency.median }).sum()
    }

    /// Divides `time_left` among `stages` in proportion to their 99th percentiles, and returns the time for the first
    /// one. Returns `None` for a single stage, or if the latency of a stage is unknown.
    #[must_use]
    pub fn first_stage_share(&self, stages: &[ServiceName], time_left: Duration) -> Option<Duration> {
        let first_p99 = self.latency_summary(stages.first()?)?.p99;
        let total_p99: Duration =
            stages.iter().filter_map(|stage| self.latency_summary(stage)).map(|latency| latency.p99).sum();
        let has_all_latencies = stages.len() > 1 && stages.iter().all(|stage| self.latency_summary(stage).is_some());
        has_all_latencies.then(|| time_left.mul_f64(first_p99.as_secs_f64() / total_p99.as_secs_f64()))
    }
}

/// Returns whether a new request is likely to miss its deadline, by the expected wait in queues and the usual latency
/// of its stages. Always false without `Tuning::early_refusal`.
#[must_use]
pub fn is_likely_late(board: &Blackboard, stages: &[ServiceName], priority: Priority, time_left: Duration) -> bool {
    if !board.tuning.early_refusal {
        return false;
    }
    // The longest wait rather than the sum, as requests are assumed to queue only at the stage with the least capacity,
    // wherever it is in the pipeline.
    let wait = stages.iter().map(|stage| estimate_queue_wait(board, stage, priority)).max().unwrap_or_default();
    wait + board.stage_times.time_needed(stages, !wait.is_zero()) > time_left
}

/// Returns whether a queued request can no longer be expected to finish in time. Without `Tuning::early_refusal`, or
/// once the current stage has received tokens, this is so only after the deadline.
#[must_use]
pub fn is_too_late(board: &Blackboard, record: &RequestRecord) -> bool {
    let time_left = board.now.until(record.deadline);
    if !board.tuning.early_refusal || !record.tokens.is_empty() {
        return time_left.is_zero();
    }
    let stages = &record.stages[record.stage as usize..];
    let is_contended = board.queues.len_of(record.service()) > 1;
    board.stage_times.time_needed(stages, is_contended) > time_left
}

/// Returns the time that a new request is expected to wait in the queue of `service`; zero if the latency or capacity
/// of the service is unknown.
///
/// All requests of at least the same priority that run at the service, wait for it or have it as a later stage count as
/// ahead. As many calls as the capacity allows run at once, and each takes the mean latency.
fn estimate_queue_wait(board: &Blackboard, service: &ServiceName, priority: Priority) -> Duration {
    let own_capacity = board.stage_times.capacities.get(service).copied().unwrap_or_default();
    let capacity = own_capacity.max(board.requests.in_flight(service));
    let ahead = board.requests.count_pending(service, priority);
    let Some(latency) = board.stage_times.latency_summary(service) else { return Duration::ZERO };
    if capacity == 0 || ahead < capacity {
        return Duration::ZERO;
    }
    latency.mean.mul_f64(f64::from(ahead - capacity + 1) / f64::from(capacity))
}

/// Counts how many calls to each service this node's own permits allow in flight, for the estimates of queue waits.
#[derive(Debug, Default)]
pub struct CapacityController {
    next_count_at: Moment,
}

impl CapacityController {
    /// Interval at which the capacity of all services is counted.
    const COUNT_INTERVAL: Duration = Duration::from_millis(200);
}

impl Controller for CapacityController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, _out: &mut Vec<Action>) {
        if !matches!(event, Event::Tick) || board.now < self.next_count_at {
            return;
        }
        self.next_count_at = board.now + Self::COUNT_INTERVAL;
        board.stage_times.capacities.clear();
        for (service, target) in board.ready.admitted() {
            let Some(view) = board.targets.get(target).filter(|view| view.backoff_until <= board.now) else { continue };
            let share = board.permits.share(target, view.limit_at(&board.tuning, board.now));
            *board.stage_times.capacities.entry(service.clone()).or_default() += share;
        }
    }
}

/// Returns the time at which an attempt that is sent now has used up its stage's share of the request's deadline, at
/// most `ends`. Returns `ends` for the last stage, or if the latency of a stage is unknown.
#[must_use]
pub fn share_deadline(board: &Blackboard, record: &RequestRecord, ends: Moment) -> Moment {
    let time_left = board.now.until(record.deadline);
    let stages = &record.stages[record.stage as usize..];
    board.stage_times.first_stage_share(stages, time_left).map_or(ends, |share| ends.min(board.now + share))
}
