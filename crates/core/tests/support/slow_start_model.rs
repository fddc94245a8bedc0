//! A deterministic model of nodes that send calls to targets which warm up, in steps of one millisecond.

use std::time::Duration;

use wasabipier_core::clock::Moment;
use wasabipier_core::relay::slow_start::{CallCounts, StartLimiter, TimedAnswer};
use wasabipier_core::relay::target_load::{LoadHistory, ReportedLoad};

/// Calls that a warm target runs at once without delay.
pub const SLOTS: u32 = 16;
/// Usual time of a call in milliseconds.
pub const CALL_MS: f64 = 30.0;
/// Time of a call above which its caller has given up and its work is lost.
pub const PATIENCE: Duration = Duration::from_millis(150);
/// Time after which a crashed target starts again.
const RESTART_MS: u64 = 1_000;
/// Part of its slots that a cold target can use.
const COLD_RATIO: f64 = 0.1;
/// Interval of the heartbeats in which nodes report their calls to each other.
const HEARTBEAT_MS: u64 = 200;

/// What a run consists of.
#[derive(Clone, Copy, Debug)]
pub struct LoadPattern {
    pub nodes: usize,
    pub targets: usize,
    pub warm_up_ms: u64,
    /// When the targets turn cold again without a notice.
    pub cold_again_ms: Option<u64>,
    /// Call times of the targets as a multiple of the usual one.
    pub pace: f64,
    /// Number of calls at once, as a multiple of what the target can use, at which it crashes.
    pub crash_ratio: Option<f64>,
}

impl Default for LoadPattern {
    fn default() -> Self {
        Self { nodes: 10, targets: 1, warm_up_ms: 3_000, cold_again_ms: None, pace: 1.0, crash_ratio: None }
    }
}

/// A rule for the calls of one node to one target.
pub trait CallRule {
    fn has_room(&self, counts: CallCounts, now: Moment) -> bool;
    fn record_answer(&mut self, answer: TimedAnswer, own_calls: u32, now: Moment);
    fn record_failure(&mut self, now: Moment);
    /// Returns whether the target counts as warm.
    fn has_ended(&self) -> bool;
}

impl CallRule for StartLimiter {
    fn has_room(&self, counts: CallCounts, _now: Moment) -> bool {
        self.limit().is_none_or(|limit| counts.has_room(limit))
    }

    fn record_answer(&mut self, answer: TimedAnswer, _own_calls: u32, now: Moment) {
        StartLimiter::record_answer(self, answer, SLOTS, now);
    }

    fn record_failure(&mut self, now: Moment) {
        self.start(now);
    }

    fn has_ended(&self) -> bool {
        self.limit().is_none()
    }
}

/// Returns the rule of `slow_start` for a target that has just started.
pub fn slow_start_rule() -> Box<dyn CallRule> {
    let mut limiter = StartLimiter::default();
    limiter.start(Moment(0));
    Box::new(limiter)
}

/// What a run served.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunResult {
    /// Work of the answers in time, as a fraction of what an oracle that knows the targets would serve.
    pub served: f64,
    /// Fraction of the calls that ended late or failed.
    pub lost: f64,
    /// Number of crashes.
    pub crashes: u32,
    /// Highest number of calls at a target as a multiple of what it could use then.
    pub flood: f64,
    /// Nodes that counted the target as warm at the end, as a fraction.
    pub ended: f64,
}

struct RunningCall {
    node: usize,
    sent_at: Moment,
    work_left_ms: f64,
    work_ms: f64,
}

struct ModelTarget {
    cold_since: u64,
    down_until: u64,
    calls: Vec<RunningCall>,
}

/// What one node holds for one target.
struct NodeSide {
    rule: Box<dyn CallRule>,
    load: Option<LoadHistory>,
    own: u32,
    reported_others: u32,
}

/// Returns the work time of `target` in per cent of the usual one: its neighbours change it every 20 ms.
fn work_percent(target: usize, ms: u64) -> u32 {
    let draw = fastrand::Rng::with_seed((target as u64) << 32 | (ms / 20)).u32(0..60);
    70 + draw
}

/// Returns the number of calls that a target runs without delay `age_ms` after it was cold.
fn usable_slots(pattern: &LoadPattern, age_ms: u64) -> f64 {
    let warmth = (age_ms as f64 / pattern.warm_up_ms as f64).min(1.0);
    f64::from(SLOTS) * (COLD_RATIO + (1.0 - COLD_RATIO) * warmth)
}

/// Runs `pattern` for `duration_ms`, with a new rule by `new_rule` for each node and target. Callers wait at every node.
pub fn run(pattern: LoadPattern, duration_ms: u64, seed: u64, new_rule: &dyn Fn() -> Box<dyn CallRule>) -> RunResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut targets: Vec<ModelTarget> =
        (0..pattern.targets).map(|_| ModelTarget { cold_since: 0, down_until: 0, calls: Vec::new() }).collect();
    let new_side = || NodeSide { rule: new_rule(), load: None, own: 0, reported_others: 0 };
    let mut sides: Vec<Vec<NodeSide>> =
        (0..pattern.targets).map(|_| (0..pattern.nodes).map(|_| new_side()).collect()).collect();
    let (mut result, mut served_ms, mut oracle_ms, mut calls, mut lost) = (RunResult::default(), 0.0, 0.0, 0, 0);
    for ms in 0..duration_ms {
        let now = Moment(ms);
        for (index, target) in targets.iter_mut().enumerate() {
            let sides = &mut sides[index];
            if pattern.cold_again_ms == Some(ms) {
                target.cold_since = ms;
            }
            let usable = usable_slots(&pattern, ms.saturating_sub(target.cold_since));
            let planned_start = pattern.cold_again_ms.filter(|at| *at <= ms).unwrap_or_default();
            let percent = work_percent(index, ms);
            let work_rate = 100.0 / f64::from(percent) / pattern.pace;
            // The oracle never crashes a target.
            oracle_ms += usable_slots(&pattern, ms - planned_start) * work_rate;
            if ms < target.down_until {
                continue;
            }
            send_calls(&pattern, index, target, sides, &mut random, now);
            let count = target.calls.len();
            result.flood = result.flood.max(count as f64 / usable);
            if pattern.crash_ratio.is_some_and(|ratio| count as f64 > usable * ratio) {
                result.crashes += 1;
                (target.down_until, target.cold_since) = (ms + RESTART_MS, ms + RESTART_MS);
                (calls, lost) = (calls + count as u32, lost + count as u32);
                target.calls.clear();
                // All nodes learn of the next incarnation before it serves.
                for side in sides.iter_mut() {
                    (side.own, side.load) = (0, None);
                    side.rule.record_failure(now);
                }
                continue;
            }
            let step_ms = work_rate * (usable / count.max(1) as f64).min(1.0);
            for call in &mut target.calls {
                call.work_left_ms -= step_ms;
            }
            for call in target.calls.extract_if(.., |call| call.work_left_ms <= 0.0) {
                let (side, took) = (&mut sides[call.node], Moment(ms + 1).since(call.sent_at));
                let load =
                    ReportedLoad { running: count as u32, waiting: 0, slots: SLOTS, work_time_percent: Some(percent) };
                match &mut side.load {
                    Some(history) => history.record(load, side.own, now),
                    None => side.load = LoadHistory::new(load, side.own, now),
                }
                let explained = side.load.map_or(1.0, |load| load.expected_percent(took, now) / 100.0);
                let relative_time = took.as_secs_f64() * 1e3 / CALL_MS / explained.clamp(0.5, 2.0);
                let answer = TimedAnswer { sent_at: call.sent_at, relative_time, concurrency: count as u32 };
                side.rule.record_answer(answer, side.own, now);
                side.own -= 1;
                calls += 1;
                if took <= PATIENCE { served_ms += call.work_ms } else { lost += 1 }
            }
        }
        if ms % HEARTBEAT_MS == 0 {
            for (target, sides) in targets.iter().zip(&mut sides) {
                for side in sides {
                    side.reported_others = target.calls.len() as u32 - side.own;
                }
            }
        }
    }
    let ended = sides.iter().flatten().filter(|side| side.rule.has_ended()).count();
    result.ended = ended as f64 / (pattern.nodes * pattern.targets) as f64;
    (result.served, result.lost) = (served_ms / oracle_ms, f64::from(lost) / f64::from(calls.max(1)));
    result
}

/// Sends what the rules allow, in a random order of the nodes. Two callers a node wait for each target.
fn send_calls(
    pattern: &LoadPattern,
    index: usize,
    target: &mut ModelTarget,
    sides: &mut [NodeSide],
    random: &mut fastrand::Rng,
    now: Moment,
) {
    let max_own = (SLOTS * 4).div_ceil(pattern.nodes as u32).max(2);
    let mut order: Vec<usize> = (0..pattern.nodes).collect();
    random.shuffle(&mut order);
    for node in order {
        let side = &mut sides[node];
        let position = (node + pattern.nodes - index * 7 % pattern.nodes) % pattern.nodes;
        let stated_others = side.load.and_then(|load| load.other_calls(now));
        // A new call on a connection takes a millisecond, so that a node sends one a step.
        let counts = CallCounts { own: side.own, stated_others, reported_others: side.reported_others, position };
        if side.own < max_own && side.rule.has_room(counts, now) {
            let work_ms = CALL_MS * (0.85 + 0.3 * random.f64());
            target.calls.push(RunningCall { node, sent_at: now, work_left_ms: work_ms, work_ms });
            side.own += 1;
        }
    }
}
