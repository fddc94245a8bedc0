//! Chooses a target for a request: the least loaded of a few that may take it.

use std::collections::BTreeSet;

use crate::blackboard::Blackboard;
use crate::names::{ServiceName, TargetName, VersionName};

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// The version that it runs.
    pub version: VersionName,
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

/// Chooses a target of `service`, if one may take a call now; targets in `avoid` only if no other may.
pub fn choose(board: &mut Blackboard, service: &ServiceName, avoid: &BTreeSet<TargetName>) -> Option<Choice> {
    refresh(board);
    let draw = board.random.f64();
    let versions = board.versions.order(&board.document.content, service, draw);
    versions.into_iter().find_map(|version| {
        let target = choose_of(board, service, &version, avoid)?;
        Some(Choice { target, version })
    })
}

fn choose_of(
    board: &mut Blackboard,
    service: &ServiceName,
    version: &VersionName,
    avoid: &BTreeSet<TargetName>,
) -> Option<TargetName> {
    let pool = board.ready.pool(service, version)?;
    if board.tuning.round_robin {
        let ready = board.ready.targets(pool);
        let turn = (board.counters.attempts as usize).checked_rem(ready.len())?;
        return ready.get(turn).cloned().filter(|target| check(board, target));
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
        if !check(board, &target) {
            continue;
        }
        looks += 1;
        let rating = rate(board, &target, avoid);
        if best.as_ref().is_none_or(|(standing, _)| rating < *standing) {
            best = Some((rating, target));
        }
    }
    match best {
        Some((rating, target)) if rating.avoided => choose_other(board, pool, avoid).or(Some(target)),
        best => best.map(|(_, target)| target),
    }
}

/// Looks at all ready targets for one that is not avoided; needed only when a draw met none.
fn choose_other(board: &mut Blackboard, pool: usize, avoid: &BTreeSet<TargetName>) -> Option<TargetName> {
    let others: Vec<TargetName> =
        board.ready.targets(pool).iter().filter(|target| !avoid.contains(*target)).cloned().collect();
    let rated = others.into_iter().filter(|target| may_take(board, target));
    let best = rated.map(|target| (rate(board, &target, avoid), target));
    best.min_by(|one, other| one.0.load.total_cmp(&other.0.load)).map(|(_, target)| target)
}

/// Whether a target may take a call; if not, it leaves the index.
fn check(board: &mut Blackboard, target: &TargetName) -> bool {
    if may_take(board, target) {
        return true;
    }
    let resting = board.targets.get(target).map(|view| view.resting_until).filter(|until| *until > board.now);
    board.ready.sleep(target, resting);
    false
}

fn rate(board: &Blackboard, target: &TargetName, avoid: &BTreeSet<TargetName>) -> Rating {
    let own = board.permits.in_flight(target);
    let load = board.targets.get(target).map_or(f64::MAX, |view| view.load(own, board.now));
    Rating { avoided: avoid.contains(target), load }
}

/// Whether a call may go to `target` from here now.
#[must_use]
pub fn may_take(board: &Blackboard, target: &TargetName) -> bool {
    board.ready.admits(target)
        && board.targets.get(target).is_some_and(|view| {
            let limit = view.limit_at(&board.tuning, board.now);
            view.resting_until <= board.now && board.permits.has(target, limit, board.now)
        })
}

/// Whether `target` may get new work, permits aside.
#[must_use]
pub fn is_open(board: &Blackboard, target: &TargetName) -> bool {
    board.ready.admits(target) && board.targets.get(target).is_some_and(|view| view.resting_until <= board.now)
}
