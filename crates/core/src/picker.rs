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

/// Preferences of a call for its target.
#[derive(Clone, Copy, Debug)]
pub struct CallRequirements<'a> {
    /// Targets to choose only if no other target may take the call.
    pub avoid: &'a BTreeSet<TargetName>,
    /// Keys of the prefixes of the call's prompt, the longest last.
    pub prefixes: &'a [PrefixKey],
}

/// The rating by which targets are compared. Lower is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rating {
    avoided: bool,
    load: f64,
}

/// Updates the index of ready targets with the changes since the last choice.
pub fn refresh_ready_targets(board: &mut Blackboard) {
    board.ready.mark_ready_after_backoff(board.now);
    if board.permits.take_all_changed() {
        board.ready.mark_all_ready();
    }
    while let Some(target) = board.permits.pop_changed_target() {
        board.ready.mark_ready(&target);
    }
}

/// Chooses a target of `service`, or returns `None` if none may take a call now.
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

fn choose_of_version(
    board: &mut Blackboard,
    service: &ServiceName,
    version: &VersionName,
    requirements: CallRequirements<'_>,
) -> Option<TargetName> {
    let pool = board.ready.pool(service, version)?;
    if board.tuning.round_robin {
        let ready = board.ready.targets(pool);
        let index = (board.counters.attempts as usize).checked_rem(ready.len())?;
        return ready.get(index).cloned().filter(|target| load_or_remove(board, service, target).is_some());
    }
    let mut best: Option<(Rating, TargetName)> = None;
    let mut inspected = 0;
    while inspected < board.tuning.sampled_targets {
        let ready = board.ready.targets(pool);
        if ready.is_empty() {
            break;
        }
        // In a small pool each target is inspected once; from a larger one targets are drawn at random.
        let is_small_pool = ready.len() <= board.tuning.sampled_targets;
        let index = if is_small_pool { inspected } else { board.random.usize(0..ready.len()) };
        let Some(target) = ready.get(index).cloned() else { break };
        let Some(load) = load_or_remove(board, service, &target) else { continue };
        inspected += 1;
        let rating = Rating { avoided: requirements.avoid.contains(&target), load };
        if best.as_ref().is_none_or(|(best_rating, _)| rating < *best_rating) {
            best = Some((rating, target));
        }
    }
    let (rating, target) = best?;
    if rating.avoided {
        return choose_not_avoided(board, service, pool, requirements.avoid).or(Some(target));
    }
    choose_prefix_holder(board, service, pool, requirements, rating.load).or(Some(target))
}

/// Returns a target that probably caches the beginning of the prompt, if its load exceeds `best_load` by at most
/// `prefix_slack`.
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

/// Returns the least loaded of all ready targets that are not avoided. Called only if the random choice found none.
fn choose_not_avoided(
    board: &Blackboard,
    service: &ServiceName,
    pool: usize,
    avoid: &BTreeSet<TargetName>,
) -> Option<TargetName> {
    let candidates = board.ready.targets(pool).iter().filter(|target| !avoid.contains(*target));
    let rated = candidates.filter_map(|target| match target_status(board, service, target) {
        TargetStatus::Free(load) => Some((load, target)),
        _ => None,
    });
    rated.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, target)| target.clone())
}

/// Returns the load of a target that may take a call. Removes a target that may not from the index of ready targets.
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
    TargetStatus::Free((view.load(in_flight, board.now) + call_load) * slowness(board, service, view))
}

/// Returns the ratio of the mean call time at a target to the mean call time at all targets of its service, within
/// bounds.
fn slowness(board: &Blackboard, service: &ServiceName, view: &TargetView) -> f64 {
    const BOUNDS: (f64, f64) = (0.5, 4.0);
    let service_mean = board.stage_times.latency_summary(service).map_or(Duration::ZERO, |tail| tail.mean);
    if service_mean.is_zero() || view.call_time.is_zero() {
        return 1.0;
    }
    (view.call_time.as_secs_f64() / service_mean.as_secs_f64()).clamp(BOUNDS.0, BOUNDS.1)
}

/// Returns whether `target` is admitted and not in backoff. Permits are not considered.
#[must_use]
pub fn is_eligible(board: &Blackboard, target: &TargetName) -> bool {
    board.ready.admits(target) && board.targets.get(target).is_some_and(|view| view.backoff_until <= board.now)
}
