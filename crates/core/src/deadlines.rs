//! One deadline over all stages: what is usual for each, and whether what is left will do.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::{Event, Priority};
use crate::names::ServiceName;
use crate::requests::RequestRecord;

/// Times that calls of one service took, as counts in buckets that grow by an eighth of an octave.
#[derive(Clone, Debug)]
pub struct TailEstimate {
    buckets: [u32; Self::BUCKETS],
    total: u32,
    unread: u32,
    usual: StageTail,
}

/// What is usual for one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTail {
    /// Mean time.
    pub mean: Duration,
    /// Time that half of the calls take.
    pub half: Duration,
    /// Time that all but one in twenty take.
    pub most: Duration,
    /// Time that all but one in a hundred take.
    pub nearly_all: Duration,
}

impl Default for TailEstimate {
    fn default() -> Self {
        Self { buckets: [0; Self::BUCKETS], total: 0, unread: 0, usual: StageTail::default() }
    }
}

impl TailEstimate {
    /// Sixteen octaves of milliseconds: up to a minute.
    const BUCKETS: usize = 128;
    /// Calls before the estimate is used.
    const ENOUGH: u32 = 20;
    /// Calls after which each weighs half, so that the estimate follows what changes.
    const MEMORY: u32 = 1_024;
    /// Calls between two looks at the buckets.
    const READ_EVERY: u32 = 16;

    /// Learns the time of a call.
    pub fn learn(&mut self, took: Duration) {
        let octaves = (took.as_millis().max(1) as f64).log2();
        let bucket = ((octaves * 8.0) as usize).min(Self::BUCKETS - 1);
        self.buckets[bucket] += 1;
        self.total += 1;
        self.unread += 1;
        if self.total >= Self::MEMORY {
            self.fade();
        }
        if self.unread >= Self::READ_EVERY || self.total == Self::ENOUGH {
            self.unread = 0;
            self.usual = StageTail {
                mean: self.mean(),
                half: self.quantile(0.5),
                most: self.quantile(0.95),
                nearly_all: self.quantile(0.99),
            };
        }
    }

    /// What is usual, once enough calls were seen.
    #[must_use]
    pub fn usual(&self) -> Option<StageTail> {
        (self.total >= Self::ENOUGH).then_some(self.usual)
    }

    fn fade(&mut self) {
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

    /// Upper edge of the bucket that holds a quantile.
    fn quantile(&self, share: f64) -> Duration {
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        let bucket = self.buckets.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        let octaves = (bucket.unwrap_or_default() + 1) as f64 / 8.0;
        Duration::from_secs_f64(octaves.exp2() / 1_000.0)
    }
}

/// What is usual for the calls of each service, and how many this node can run at once.
#[derive(Clone, Debug, Default)]
pub struct StageTable {
    tails: BTreeMap<ServiceName, TailEstimate>,
    places: BTreeMap<ServiceName, u32>,
}

impl StageTable {
    /// Learns the time of a call, or of one that was given up: it would have taken longer still.
    pub fn learn(&mut self, service: &ServiceName, took: Duration) {
        self.tails.entry(service.clone()).or_default().learn(took);
    }

    /// What is usual for a service, once known.
    #[must_use]
    pub fn usual(&self, service: &ServiceName) -> Option<StageTail> {
        self.tails.get(service)?.usual()
    }

    /// Time that a request needs for these stages; what is unknown counts as nothing.
    ///
    /// While others wait for the same places, a request gets one only if it will nearly always be done
    /// in time; otherwise an even chance will do, as a place that stays empty helps nobody.
    #[must_use]
    pub fn needed(&self, stages: &[ServiceName], contended: bool) -> Duration {
        let tails = stages.iter().filter_map(|stage| self.usual(stage));
        tails.map(|tail| if contended { tail.most } else { tail.half }).sum()
    }

    /// Share of `left` that belongs to the first of `stages`, by their tails; none if it cannot be told.
    #[must_use]
    pub fn share(&self, stages: &[ServiceName], left: Duration) -> Option<Duration> {
        let first = self.usual(stages.first()?)?.nearly_all;
        let all: Duration = stages.iter().filter_map(|stage| self.usual(stage)).map(|tail| tail.nearly_all).sum();
        let known = stages.len() > 1 && stages.iter().all(|stage| self.usual(stage).is_some());
        known.then(|| left.mul_f64(first.as_secs_f64() / all.as_secs_f64()))
    }
}

/// Whether a new request is likely to miss its deadline: by the queue before it and its stages' work.
#[must_use]
pub fn is_hopeless(board: &Blackboard, stages: &[ServiceName], priority: Priority, left: Duration) -> bool {
    if !board.tuning.early_refusal {
        return false;
    }
    // Requests queue at the narrowest stage, wherever it comes: the others let them through.
    let wait = stages.iter().map(|stage| queue_wait(board, stage, priority)).max().unwrap_or_default();
    wait + board.stage_times.needed(stages, !wait.is_zero()) > left
}

/// Whether a request that waits can no longer be done in time.
#[must_use]
pub fn is_lost(board: &Blackboard, record: &RequestRecord) -> bool {
    let left = board.now.until(record.deadline);
    if !board.tuning.early_refusal || !record.tokens.is_empty() {
        return left.is_zero();
    }
    let stages = &record.stages[record.stage as usize..];
    let contended = board.queues.len_of(record.service()) > 1;
    board.stage_times.needed(stages, contended) > left
}

/// Time that a new request will wait for `service`: those on their way to it or at it, as urgent or
/// more so, leave as fast as its places get free.
fn queue_wait(board: &Blackboard, service: &ServiceName, priority: Priority) -> Duration {
    let own = board.stage_times.places.get(service).copied().unwrap_or_default();
    let places = own.max(board.requests.in_flight(service));
    let ahead = board.requests.bound_for(service, priority);
    let Some(usual) = board.stage_times.usual(service) else { return Duration::ZERO };
    if places == 0 || ahead < places {
        return Duration::ZERO;
    }
    usual.mean.mul_f64(f64::from(ahead - places + 1) / f64::from(places))
}

/// Counts how many calls of each service this node's own permits let it run at once.
#[derive(Debug, Default)]
pub struct PlaceController {
    count_at: Moment,
}

impl PlaceController {
    const COUNT_EVERY: Duration = Duration::from_millis(200);
}

impl Controller for PlaceController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, _out: &mut Vec<Action>) {
        if !matches!(event, Event::Tick) || board.now < self.count_at {
            return;
        }
        self.count_at = board.now + Self::COUNT_EVERY;
        board.stage_times.places.clear();
        for (service, target) in board.ready.admitted() {
            let Some(view) = board.targets.get(target).filter(|view| view.resting_until <= board.now) else { continue };
            let share = board.permits.share(target, view.limit_at(&board.tuning, board.now));
            *board.stage_times.places.entry(service.clone()).or_default() += share;
        }
    }
}

/// When an attempt at the current stage of a request has used up its share of the deadline.
#[must_use]
pub fn share_ends(board: &Blackboard, record: &RequestRecord, ends: Moment) -> Moment {
    let left = board.now.until(record.deadline);
    let stages = &record.stages[record.stage as usize..];
    board.stage_times.share(stages, left).map_or(ends, |share| ends.min(board.now + share))
}
