//! Chooses a target for a request: the least loaded of a few that may take it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::names::{PrefixKey, ServiceName, TargetName, VersionName};
use crate::targets::TargetView;

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// The version that it runs.
    pub version: VersionName,
}

/// What a call would like of its target.
#[derive(Clone, Copy, Debug)]
pub struct CallWish<'a> {
    /// Targets that are chosen only if no other may take the call.
    pub avoid: &'a BTreeSet<TargetName>,
    /// Prefixes of its prompt, the longest last.
    pub prefixes: &'a [PrefixKey],
}

/// How a target compares: lower is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rating {
    avoided: bool,
    load: f64,
}

/// Brings the index of ready targets up to date with what changed since the last choice.
pub fn refresh(board: &mut Blackboard) {
    board.ready.wake_rested(board.now);
    if board.permits.take_all_changed() {
        board.ready.wake_all();
    }
    while let Some(target) = board.permits.pop_changed() {
        board.ready.wake(&target);
    }
}

/// Chooses a target of `service`, if one may take a call now.
pub fn choose(board: &mut Blackboard, service: &ServiceName, wish: CallWish<'_>) -> Option<Choice> {
    refresh(board);
    let draw = board.random.f64();
    let versions = board.versions.order(&board.document.content, service, draw);
    versions.into_iter().find_map(|version| {
        let target = choose_of(board, service, &version, wish)?;
        Some(Choice { target, version })
    })
}

fn choose_of(
    board: &mut Blackboard,
    service: &ServiceName,
    version: &VersionName,
    wish: CallWish<'_>,
) -> Option<TargetName> {
    let pool = board.ready.pool(service, version)?;
    if board.tuning.round_robin {
        let ready = board.ready.targets(pool);
        let turn = (board.counters.attempts as usize).checked_rem(ready.len())?;
        return ready.get(turn).cloned().filter(|target| check(board, service, target).is_some());
    }
    let mut best: Option<(Rating, TargetName)> = None;
    let mut looks = 0;
    while looks < board.tuning.choices {
        let ready = board.ready.targets(pool);
        if ready.is_empty() {
            break;
        }
        // Of few targets each is looked at once, of many some are drawn.
        let few = ready.len() <= board.tuning.choices;
        let place = if few { looks } else { board.random.usize(0..ready.len()) };
        let Some(target) = ready.get(place).cloned() else { break };
        let Some(load) = check(board, service, &target) else { continue };
        looks += 1;
        let rating = Rating { avoided: wish.avoid.contains(&target), load };
        if best.as_ref().is_none_or(|(standing, _)| rating < *standing) {
            best = Some((rating, target));
        }
    }
    let (rating, target) = best?;
    if rating.avoided {
        return choose_other(board, service, pool, wish.avoid).or(Some(target));
    }
    choose_cached(board, service, pool, wish, rating.load).or(Some(target))
}

/// A target that is likely to hold the beginning of the prompt, if it is not much busier than the best.
fn choose_cached(
    board: &Blackboard,
    service: &ServiceName,
    pool: usize,
    wish: CallWish<'_>,
    best_load: f64,
) -> Option<TargetName> {
    const MOST_LOOKS: usize = 4;
    let bound = best_load + board.tuning.prefix_slack;
    let holders = board.prefixes.holders(wish.prefixes, board.tuning.prefix_kept, board.now).take(MOST_LOOKS);
    let mut others = holders.filter(|target| !wish.avoid.contains(*target) && board.ready.is_of(target, pool));
    others.find(|target| matches!(look(board, service, target), TargetLook::Free(load) if load <= bound)).cloned()
}

/// Looks at all ready targets for one that is not avoided; needed only when a draw met none.
fn choose_other(
    board: &Blackboard,
    service: &ServiceName,
    pool: usize,
    avoid: &BTreeSet<TargetName>,
) -> Option<TargetName> {
    let others = board.ready.targets(pool).iter().filter(|target| !avoid.contains(*target));
    let rated = others.filter_map(|target| match look(board, service, target) {
        TargetLook::Free(load) => Some((load, target)),
        _ => None,
    });
    rated.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, target)| target.clone())
}

/// Load of a target that may take a call; one that may not leaves the index.
fn check(board: &mut Blackboard, service: &ServiceName, target: &TargetName) -> Option<f64> {
    match look(board, service, target) {
        TargetLook::Free(load) => return Some(load),
        TargetLook::Resting(until) => board.ready.sleep(target, Some(until)),
        TargetLook::Taken => board.ready.sleep(target, None),
    }
    None
}

/// What a look at an admitted target finds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TargetLook {
    /// It may take a call; lower loads are better.
    Free(f64),
    /// It gets no calls until this moment.
    Resting(Moment),
    /// This node has no permit left for it.
    Taken,
}

fn look(board: &Blackboard, service: &ServiceName, target: &TargetName) -> TargetLook {
    let Some(view) = board.targets.get(target) else { return TargetLook::Taken };
    if view.resting_until > board.now {
        return TargetLook::Resting(view.resting_until);
    }
    let limit = view.limit_at(&board.tuning, board.now);
    let Some(own) = board.permits.usable(target, limit, board.now) else { return TargetLook::Taken };
    // Counted against the warm limit: an idle cold target would else get calls only once others are full.
    let next = 1.0 / f64::from(view.warmth.warm_limit().max(1));
    TargetLook::Free((view.load(own, board.now) + next) * slowness(board, service, view))
}

/// Time of a call at a target over that at all targets of its service.
fn slowness(board: &Blackboard, service: &ServiceName, view: &TargetView) -> f64 {
    const BOUNDS: (f64, f64) = (0.5, 4.0);
    let usual = board.stage_times.usual(service).map_or(Duration::ZERO, |tail| tail.mean);
    if usual.is_zero() || view.call_time.is_zero() {
        return 1.0;
    }
    (view.call_time.as_secs_f64() / usual.as_secs_f64()).clamp(BOUNDS.0, BOUNDS.1)
}

/// Whether `target` may get new work, permits aside.
#[must_use]
pub fn is_open(board: &Blackboard, target: &TargetName) -> bool {
    board.ready.admits(target) && board.targets.get(target).is_some_and(|view| view.resting_until <= board.now)
}
