//! Admission control: refuses requests that the queues of their preparation stages would delay for too long.

use std::time::Duration;

use crate::clock::Moment;
use crate::relay::board::RelayBoard;
use crate::relay::document::RelayRoute;

/// Properties of a request that its expected time depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan<'a> {
    /// Route of the request.
    pub route: &'a RelayRoute,
    /// Number of pieces by stage index.
    pub pieces: &'a [u32],
    /// Priority rank. 0 is the most urgent.
    pub rank: u8,
    /// Estimated time from the start of the final call to its first event.
    pub final_call: Duration,
    /// Time from now until the caller's deadline.
    pub time_left: Duration,
}

/// Estimated times from now until a request is answered, or until a stage of it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedTimes {
    /// Time if the request can meet its objective and so is served before late requests of its rank.
    pub on_time: Duration,
    /// Time if the request is late and so is served after requests of its rank that can be on time.
    pub late: Duration,
}

/// Limits of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadBounds {
    /// Maximum expected time of a late request as a fraction of the time until the caller's deadline. Estimates are
    /// rough, and a caller that is refused early still has time to retry.
    pub max_late_ratio: f64,
    /// Minimum and maximum time after which a refused caller is told to retry.
    pub retry_after_range: (Duration, Duration),
}

impl Default for OverloadBounds {
    fn default() -> Self {
        Self { max_late_ratio: 0.5, retry_after_range: (Duration::from_millis(200), Duration::from_secs(4)) }
    }
}

/// Estimates the times until a request that arrives now is answered: the longest path through its stages, with the
/// queue wait and the processing time of each, and the final call.
#[must_use]
pub fn estimate_times(board: &RelayBoard, plan: &RequestPlan<'_>, now: Moment) -> ExpectedTimes {
    let mut stage_ends: Vec<ExpectedTimes> = Vec::new();
    for (index, stage) in plan.route.stages.iter().enumerate() {
        let pieces = plan.pieces.get(index).copied().unwrap_or_default();
        let input_ends = stage.after.iter().filter_map(|other| stage_ends.get(*other));
        let start = input_ends.fold(ExpectedTimes::default(), |latest, end| later_times(latest, *end));
        let spec = board.service(&stage.service).and_then(|service| service.batch.as_ref());
        let end = match spec {
            Some(spec) if pieces > 0 => {
                let wait = board.queue_wait(&stage.service, plan.rank, now);
                let work = spec.call_time + spec.piece_time * pieces.min(spec.max_pieces as u32);
                ExpectedTimes { on_time: start.on_time + wait.on_time + work, late: start.late + wait.late + work }
            }
            _ => start,
        };
        stage_ends.push(end);
    }
    let last = stage_ends.into_iter().fold(ExpectedTimes::default(), later_times);
    ExpectedTimes { on_time: last.on_time + plan.final_call, late: last.late + plan.final_call }
}

/// Returns the later of the two `on_time` values and the later of the two `late` values.
fn later_times(left: ExpectedTimes, right: ExpectedTimes) -> ExpectedTimes {
    ExpectedTimes { on_time: left.on_time.max(right.on_time), late: left.late.max(right.late) }
}

/// Decides whether a request is refused because of load. Returns the time after which the caller should retry, or
/// `None` if the request is accepted. It is accepted if it is expected to meet the objective when it is served before
/// late requests, or if its expected time as a late one is at most 1.3 times the objective and within `max_late_ratio`.
pub fn refuse_for_load(
    board: &mut RelayBoard,
    plan: &RequestPlan<'_>,
    bounds: &OverloadBounds,
    now: Moment,
) -> Option<Duration> {
    let times = estimate_times(board, plan, now);
    if times.on_time <= plan.route.objective
        || times.late <= plan.route.objective.mul_f64(1.3).min(plan.time_left.mul_f64(bounds.max_late_ratio))
    {
        return None;
    }
    // Spread the retries over the time in which the queue is processed.
    let (shortest, longest) = bounds.retry_after_range;
    let retry_after = times.late.mul_f64(0.3 + 0.4 * board.random.f64());
    Some(retry_after.clamp(shortest, longest))
}
