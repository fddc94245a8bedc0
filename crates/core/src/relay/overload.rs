//! Admission control: refuses requests that the queues of their preparation stages would delay for too long, and less
//! urgent ones while more urgent ones are refused.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::ServiceName;
use crate::relay::board::RelayBoard;
use crate::relay::document::RelayRoute;
use crate::relay::pieces::{PieceJob, QueueWait};
use crate::relay::rank_guard::{RankEvidence, RankGuardLimits, RequestSample};

/// Properties of a request that its expected time depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan<'a> {
    /// Route of the request.
    pub route: &'a Arc<RelayRoute>,
    /// Number of pieces by stage index.
    pub pieces: &'a [u32],
    /// Priority rank. 0 is the most urgent.
    pub rank: u8,
    /// Estimated time from the start of the final call to its first event.
    pub final_call_duration: Duration,
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
    /// Fraction of the longest acceptable wait up to which a late request is accepted that competes with other ranks.
    pub contended_wait_ratio: f64,
    /// Limits of the guard that keeps ranks in order.
    pub rank_guard: RankGuardLimits,
}

impl Default for OverloadBounds {
    fn default() -> Self {
        Self {
            max_late_ratio: 0.5,
            retry_after_range: (Duration::from_millis(200), Duration::from_secs(4)),
            contended_wait_ratio: 0.1,
            rank_guard: RankGuardLimits::default(),
        }
    }
}

/// A refusal for load, with what it was decided by.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRefusal {
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Expected times of the request.
    pub times: ExpectedTimes,
    /// The more urgent requests for which it is refused; `None` if it is refused because of its own expected times.
    pub urgent: Option<UrgentRefusals>,
}

/// Refusals of more urgent requests, for which a less urgent one is refused too.
#[derive(Clone, Debug, PartialEq)]
pub struct UrgentRefusals {
    /// The more urgent rank.
    pub rank: u8,
    /// Recent number of its requests at this node, decayed.
    pub requests: f64,
    /// Fraction of them that are refused.
    pub refused_ratio: f64,
    /// What the fraction was found by.
    pub basis: EvidenceBasis,
    /// Expected times of such a request now.
    pub times: ExpectedTimes,
    /// Objective of such a request.
    pub objective: Duration,
}

/// What shows that requests of a rank are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EvidenceBasis {
    /// Recent requests of the rank at this node.
    Counts,
    /// The estimate for a request like the last one of the rank, at a node that has had too few of them.
    Estimate,
}

/// Estimates the times until a request that arrives now is answered: the longest path through its stages, with the
/// queue wait and the processing time of each, and the final call.
#[must_use]
pub fn estimate_times(board: &RelayBoard, plan: &RequestPlan<'_>, now: Moment) -> ExpectedTimes {
    path_times(board, plan, |service| board.queue_wait(service, plan.rank, now))
}

/// Returns the times of the longest path through the stages, with the wait of each stage service, and the final call.
fn path_times(
    board: &RelayBoard,
    plan: &RequestPlan<'_>,
    queue_wait: impl Fn(&ServiceName) -> QueueWait,
) -> ExpectedTimes {
    let mut stage_ends: Vec<ExpectedTimes> = Vec::new();
    for (index, stage) in plan.route.stages.iter().enumerate() {
        let pieces = plan.pieces.get(index).copied().unwrap_or_default();
        let input_ends = stage.input_stages.iter().filter_map(|other| stage_ends.get(*other));
        let start = input_ends.fold(ExpectedTimes::default(), |latest, end| later_times(latest, *end));
        let spec = board.service(&stage.service).and_then(|service| service.batch.as_ref());
        let end = match spec {
            Some(spec) if pieces > 0 => {
                let wait = queue_wait(&stage.service);
                let work = spec.fixed_call_time + spec.piece_time * pieces.min(spec.max_pieces as u32);
                ExpectedTimes { on_time: start.on_time + wait.on_time + work, late: start.late + wait.late + work }
            }
            _ => start,
        };
        stage_ends.push(end);
    }
    let last = stage_ends.into_iter().fold(ExpectedTimes::default(), later_times);
    ExpectedTimes { on_time: last.on_time + plan.final_call_duration, late: last.late + plan.final_call_duration }
}

/// Returns the later of the two `on_time` values and the later of the two `late` values.
fn later_times(left: ExpectedTimes, right: ExpectedTimes) -> ExpectedTimes {
    ExpectedTimes { on_time: left.on_time.max(right.on_time), late: left.late.max(right.late) }
}

/// Expected times of a request, and whether it is accepted by them.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    times: ExpectedTimes,
    is_acceptable: bool,
    /// Whether it would be accepted if no piece were queued.
    is_acceptable_without_load: bool,
}

/// Estimates the times of a request. It is acceptable if it is expected to meet the objective when it is served before
/// late requests, or if its expected time as a late one is at most 1.3 times the objective and within `max_late_ratio`.
///
/// The queues serve a request before late ones only while it keeps their margin, and more urgent ones that arrive later
/// overtake it. For a request that `competes` with other ranks for a stage, the first condition therefore includes the
/// margin, and the second one allows only `contended_wait_ratio` of the wait.
fn estimate_load(
    board: &RelayBoard,
    plan: &RequestPlan<'_>,
    bounds: &OverloadBounds,
    competes: bool,
    now: Moment,
) -> LoadEstimate {
    let objective = plan.route.objective;
    let max_late = objective.mul_f64(1.3).min(plan.time_left.mul_f64(bounds.max_late_ratio));
    let needed = path_times(board, plan, |_| QueueWait::default()).on_time;
    let times = estimate_times(board, plan, now);
    let longest = objective.max(max_late);
    let is_acceptable = if competes {
        let max_wait = longest.saturating_sub(needed).mul_f64(bounds.contended_wait_ratio);
        let is_on_time = times.on_time + needed.mul_f64(PieceJob::MARGIN_RATIO) <= objective;
        is_on_time || times.on_time <= longest.min(needed + max_wait)
    } else {
        times.on_time <= objective || times.late <= max_late
    };
    LoadEstimate { times, is_acceptable, is_acceptable_without_load: needed <= longest }
}

/// Decides whether a request is refused because of load, and records the decision. Returns the refusal, or `None` if the
/// request is accepted. It is refused if its expected times are too long, or if a more urgent rank that shares a stage
/// with it is refused and a refusal of its own rank is due.
pub fn refuse_for_load(
    board: &mut RelayBoard,
    plan: &RequestPlan<'_>,
    bounds: &OverloadBounds,
    now: Moment,
) -> Option<LoadRefusal> {
    let sample = RequestSample {
        route: plan.route.clone(),
        pieces: plan.pieces.iter().take(plan.route.stages.len()).copied().collect(),
        final_call_duration: plan.final_call_duration,
        time_left: plan.time_left,
    };
    let competes = board.rank_guard.has_other_rank(&sample, plan.rank, &bounds.rank_guard, now);
    let estimate = estimate_load(board, plan, bounds, competes, now);
    if estimate.is_acceptable_without_load {
        board.rank_guard.record(&sample, plan.rank, !estimate.is_acceptable, &bounds.rank_guard, now);
    }
    if estimate.is_acceptable {
        return refuse_for_urgent(board, plan, &sample, estimate.times, bounds, now);
    }
    // Spread the retries over the time in which the queue is processed.
    let (shortest, longest) = bounds.retry_after_range;
    let retry_after = estimate.times.late.mul_f64(0.3 + 0.4 * board.random.f64()).clamp(shortest, longest);
    Some(LoadRefusal { retry_after, times: estimate.times, urgent: None })
}

/// Decides whether a request with acceptable `times` is refused because more urgent ones are.
fn refuse_for_urgent(
    board: &mut RelayBoard,
    plan: &RequestPlan<'_>,
    sample: &RequestSample,
    times: ExpectedTimes,
    bounds: &OverloadBounds,
    now: Moment,
) -> Option<LoadRefusal> {
    let evidence = board.rank_guard.more_urgent(sample, plan.rank, &bounds.rank_guard, now);
    let judged = evidence.iter().map(|evidence| judge_urgent(board, evidence, bounds, now));
    let urgent = judged.max_by(|left, right| left.refused_ratio.total_cmp(&right.refused_ratio))?;
    let RelayBoard { rank_guard, random, .. } = board;
    if !rank_guard.refuses(plan.rank, urgent.refused_ratio, &bounds.rank_guard, || random.f64()) {
        return None;
    }
    let retry_after = retry_time(board, plan, times, &urgent, bounds);
    Some(LoadRefusal { retry_after, times, urgent: Some(urgent) })
}

/// Returns when the caller of a request that is refused for `urgent` ones should retry. They have room once the queues are
/// shorter by what they exceed their objective. The retries are spread over a multiple of that time, and must leave the
/// time that the request itself takes.
fn retry_time(
    board: &mut RelayBoard,
    plan: &RequestPlan<'_>,
    times: ExpectedTimes,
    urgent: &UrgentRefusals,
    bounds: &OverloadBounds,
) -> Duration {
    let (shortest, longest) = bounds.retry_after_range;
    let until_room = urgent.times.on_time.saturating_sub(urgent.objective);
    let latest = plan.time_left.saturating_sub(times.on_time).min(longest);
    let first = (until_room + shortest).min(latest / 2);
    let last = (first * 3).min(latest);
    first + last.saturating_sub(first).mul_f64(board.random.f64())
}

/// Returns how often requests of a more urgent rank are refused: by recent counts or, if there are too few of these, by the
/// estimate for the last request. In a large fleet a node has few requests of a rank within the window, while all nodes
/// estimate from the same waits.
fn judge_urgent(board: &RelayBoard, evidence: &RankEvidence, bounds: &OverloadBounds, now: Moment) -> UrgentRefusals {
    let sample = &evidence.sample;
    let competes = board.rank_guard.has_other_rank(sample, evidence.rank, &bounds.rank_guard, now);
    let plan = RequestPlan {
        route: &sample.route,
        pieces: &sample.pieces,
        rank: evidence.rank,
        final_call_duration: sample.final_call_duration,
        time_left: sample.time_left,
    };
    let estimate = estimate_load(board, &plan, bounds, competes, now);
    let times = estimate.times;
    let (refused_ratio, basis) = match evidence.refused_ratio {
        Some(ratio) => (ratio, EvidenceBasis::Counts),
        None => (f64::from(u8::from(!estimate.is_acceptable)), EvidenceBasis::Estimate),
    };
    let (rank, requests, objective) = (evidence.rank, evidence.requests, sample.route.objective);
    UrgentRefusals { rank, requests, refused_ratio, basis, times, objective }
}
