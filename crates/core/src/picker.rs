//! Chooses a target for a request: the least loaded of a few random targets that may take it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::names::{PrefixKey, ServiceName, TargetName, VersionName};
use crate::targets::TargetView;

/// The target chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target's name.
    pub target: TargetName,
    /// The version that the target runs.
    pub version: VersionName,
}

/// Properties of a call by which its target is chosen. They rank targets and exclude none.
#[derive(Clone, Copy, Debug)]
pub struct CallRequirements<'a> {
    /// Targets to choose only if no other target may take the call.
    pub avoid: &'a BTreeSet<TargetName>,
    /// Keys of the prefixes of the call's prompt, the longest last; empty if there is no prompt.
    pub prefixes: &'a [PrefixKey],
}

/// The rating by which targets are compared. Lower is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rating {
    is_avoided: bool,
    load: f64,
}

/// Updates the index of ready targets: adds targets whose backoff has ended or at which a permit may have become free
/// since the last update.
pub fn refresh_ready_targets(board: &mut Blackboard) {
    board.ready.mark_ready_after_backoff(board.now);
    if board.permits.take_must_recheck_all() {
        board.ready.mark_all_ready();
    }
    while let Some(target) = board.permits.pop_target_to_recheck() {
        board.ready.mark_ready(&target);
    }
}

/// Chooses a target of `service`, or returns `None` if none may take a call now. Takes no permit.
pub fn choose(
    board: &mut Blackboard,
    service: &ServiceName,
    requirements: CallRequirements<'_>,
) -> Option<TargetChoice> {
    refresh_ready_targets(board);
    let draw = board.random.f64();
    let versions = board.versions.versions_to_try(&board.document.content, service, draw);
    versions.into_iter().find_map(|version| {
        let target = choose_of_version(board, service, &version, requirements)?;
        Some(TargetChoice { target, version })
    })
}

/// Chooses a target of one version: the least loaded of a random sample, unless another one caches the prompt's prefix
/// or is not to be avoided.
fn choose_of_version(
    board: &mut Blackboard,
    service: &ServiceName,
    version: &VersionName,
    requirements: CallRequirements<'_>,
) -> Option<TargetName> {
    let pool = board.ready.pool_index(service, version)?;
    if board.tuning.round_robin {
        let ready = board.ready.ready_targets(pool);
        let index = (board.counters.attempts as usize).checked_rem(ready.len())?;
        return ready.get(index).cloned().filter(|target| load_or_remove(board, service, target).is_some());
    }
    let mut best: Option<(Rating, TargetName)> = None;
    let mut inspected_count = 0;
    while inspected_count < board.tuning.sampled_targets {
        let ready = board.ready.ready_targets(pool);
        if ready.is_empty() {
            break;
        }
        // In a small pool each target is inspected once; from a larger one targets are drawn at random.
        let is_small_pool = ready.len() <= board.tuning.sampled_targets;
        let index = if is_small_pool { inspected_count } else { board.random.usize(0..ready.len()) };
        let Some(target) = ready.get(index).cloned() else { break };
        let Some(load) = load_or_remove(board, service, &target) else { continue };
        inspected_count += 1;
        let rating = Rating { is_avoided: requirements.avoid.contains(&target), load };
        if best.as_ref().is_none_or(|(best_rating, _)| rating < *best_rating) {
            best = Some((rating, target));
        }
    }
    let (rating, target) = best?;
    if rating.is_avoided {
        return choose_not_avoided(board, service, pool, requirements.avoid).or(Some(target));
    }
    choose_prefix_holder(board, service, pool, requirements, rating.load).or(Some(target))
}

/// Returns a target that probably caches a prefix of the prompt, if its load exceeds `best_load` by at most
/// `prefix_slack`. Returns `None` if there is no such target among the first few.
fn choose_prefix_holder(
    board: &Blackboard,
    service: &ServiceName,
    pool: usize,
    requirements: CallRequirements<'_>,
    best_load: f64,
) -> Option<TargetName> {
    const MAX_HOLDERS_INSPECTED: usize = 4;
    let max_load = best_load + board.tuning.prefix_slack;
    let holders =
        board.prefixes.holders(requirements.prefixes, board.tuning.prefix_ttl, board.now).take(MAX_HOLDERS_INSPECTED);
    let mut candidates =
        holders.filter(|target| !requirements.avoid.contains(*target) && board.ready.is_in_pool(target, pool));
    candidates
        .find(|target| matches!(target_status(board, service, target), TargetStatus::Free(load) if load <= max_load))
        .cloned()
}

/// Returns the least loaded of all ready targets that are not to be avoided. Called only if the random sample held none
/// but targets to avoid, as it looks at every ready target.
fn choose_not_avoided(
    board: &Blackboard,
    service: &ServiceName,
    pool: usize,
    avoid: &BTreeSet<TargetName>,
) -> Option<TargetName> {
    let candidates = board.ready.ready_targets(pool).iter().filter(|target| !avoid.contains(*target));
    let rated = candidates.filter_map(|target| match target_status(board, service, target) {
        TargetStatus::Free(load) => Some((load, target)),
        _ => None,
    });
    rated.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, target)| target.clone())
}

/// Returns the load of a target that may take a call. Otherwise removes the target from the index of ready targets and
/// returns `None`.
fn load_or_remove(board: &mut Blackboard, service: &ServiceName, target: &TargetName) -> Option<f64> {
    match target_status(board, service, target) {
        TargetStatus::Free(load) => return Some(load),
        TargetStatus::BackingOff(until) => board.ready.mark_not_ready(target, Some(until)),
        TargetStatus::NoPermit => board.ready.mark_not_ready(target, None),
    }
    None
}

/// The availability of an admitted target for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TargetStatus {
    /// The target may take a call and has this load. Lower loads are better.
    Free(f64),
    /// The target gets no calls until this moment.
    BackingOff(Moment),
    /// This node has no permit left for the target.
    NoPermit,
}

/// Returns whether a target may take a call, and its load: the ratio of calls, with the new one, to the limit,
/// multiplied by the target's slowness.
fn target_status(board: &Blackboard, service: &ServiceName, target: &TargetName) -> TargetStatus {
    let Some(view) = board.targets.get(target) else { return TargetStatus::NoPermit };
    if view.backoff_until > board.now {
        return TargetStatus::BackingOff(view.backoff_until);
    }
    let limit = view.limit_at(&board.tuning, board.now);
    let Some(in_flight) = board.permits.in_flight_if_available(target, limit, board.now) else {
        return TargetStatus::NoPermit;
    };
    // The new call is counted against the warm limit. Otherwise an idle cold target would get calls only once other
    // targets are full.
    let call_load = 1.0 / f64::from(view.warmth.warm_limit().max(1));
    TargetStatus::Free((view.load(in_flight, board.now) + call_load) * slowness_factor(board, service, view))
}

/// Returns the ratio of the average call duration at a target to that at all targets of its service, within bounds.
/// Returns 1 while either is unknown.
fn slowness_factor(board: &Blackboard, service: &ServiceName, view: &TargetView) -> f64 {
    const BOUNDS: (f64, f64) = (0.5, 4.0);
    let service_mean = board.stage_times.latency_summary(service).map_or(Duration::ZERO, |tail| tail.mean);
    if service_mean.is_zero() || view.average_call_duration.is_zero() {
        return 1.0;
    }
    (view.average_call_duration.as_secs_f64() / service_mean.as_secs_f64()).clamp(BOUNDS.0, BOUNDS.1)
}

/// Returns whether `target` is admitted and not in backoff. Permits are not considered.
#[must_use]
pub fn is_eligible(board: &Blackboard, target: &TargetName) -> bool {
    board.ready.admits(target) && board.targets.get(target).is_some_and(|view| view.backoff_until <= board.now)
}
