//! Whether a request is taken in while its stages are busy.

use std::time::Duration;

use crate::clock::Moment;
use crate::relay::board::RelayBoard;
use crate::relay::document::RelayRoute;

/// What a request has to go through.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan<'a> {
    /// Its route.
    pub route: &'a RelayRoute,
    /// Pieces of each stage.
    pub pieces: &'a [u32],
    /// Its urgency.
    pub rank: u8,
    /// Time that its final call takes until its first event.
    pub final_call: Duration,
    /// Time that its caller gives.
    pub time_left: Duration,
}

/// Expected times until a request is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedTimes {
    /// If it goes before requests that are late.
    pub on_time: Duration,
    /// If it goes after them.
    pub late: Duration,
}

/// Bounds of what is taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadBounds {
    /// Part of the caller's time within which a request that will be late must be expected to end: estimates are
    /// rough, and a caller that is refused early can still come back.
    pub late_part: f64,
    /// Shortest and longest pause before a refused caller comes again.
    pub come_again: (Duration, Duration),
}

impl Default for OverloadBounds {
    fn default() -> Self {
        Self { late_part: 0.5, come_again: (Duration::from_millis(200), Duration::from_secs(4)) }
    }
}

/// Expected times of a request that comes now.
#[must_use]
pub fn expected_times(board: &RelayBoard, plan: &RequestPlan<'_>, now: Moment) -> ExpectedTimes {
    let mut ends: Vec<ExpectedTimes> = Vec::new();
    for (at, stage) in plan.route.stages.iter().enumerate() {
        let pieces = plan.pieces.get(at).copied().unwrap_or_default();
        let before = stage.after.iter().filter_map(|other| ends.get(*other));
        let start = before.fold(ExpectedTimes::default(), |most, end| latest(most, *end));
        let spec = board.service(&stage.service).and_then(|service| service.batch.as_ref());
        let end = match spec {
            Some(spec) if pieces > 0 => {
                let wait = board.queue_wait(&stage.service, plan.rank, now);
                let work = spec.call_time + spec.piece_time * pieces.min(spec.most_pieces as u32);
                ExpectedTimes { on_time: start.on_time + wait.on_time + work, late: start.late + wait.late + work }
            }
            _ => start,
        };
        ends.push(end);
    }
    let last = ends.into_iter().fold(ExpectedTimes::default(), latest);
    ExpectedTimes { on_time: last.on_time + plan.final_call, late: last.late + plan.final_call }
}

fn latest(one: ExpectedTimes, other: ExpectedTimes) -> ExpectedTimes {
    ExpectedTimes { on_time: one.on_time.max(other.on_time), late: one.late.max(other.late) }
}

/// Whether a request is refused for now; gives back when its caller should come again.
pub fn refuse_for_load(
    board: &mut RelayBoard,
    plan: &RequestPlan<'_>,
    bounds: &OverloadBounds,
    now: Moment,
) -> Option<Duration> {
    let times = expected_times(board, plan, now);
    if times.on_time <= plan.route.objective
        || times.late <= plan.route.objective.mul_f64(1.3).min(plan.time_left.mul_f64(bounds.late_part))
    {
        return None;
    }
    // Callers come back spread over the time in which the queue is worked off.
    let (shortest, longest) = bounds.come_again;
    let pause = times.late.mul_f64(0.3 + 0.4 * board.random.f64());
    Some(pause.clamp(shortest, longest))
}
