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

/// Chooses a target of `service`, if one may take a call now; targets in `avoid` only if no other may.
pub fn choose(board: &mut Blackboard, service: &ServiceName, avoid: &BTreeSet<TargetName>) -> Option<Choice> {
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
    let mut random = board.random.fork();
    let targets = board.targets.of(service, version);
    if targets.is_empty() {
        return None;
    }
    let start = random.usize(0..targets.len());
    let rotated = targets[start..].iter().chain(&targets[..start]);
    let mut best: Option<(bool, f64, &TargetName)> = None;
    for target in rotated.filter(|target| may_take(board, target)).take(board.tuning.choices) {
        let view = board.targets.get(target)?;
        let load = view.load(board.permits.in_flight(target), board.now);
        let rated = (avoid.contains(target), load, target);
        if best.is_none_or(|best| (rated.0, rated.1) < (best.0, best.1)) {
            best = Some(rated);
        }
    }
    best.map(|(_, _, target)| target.clone())
}

/// Whether a call may go to `target` from here now.
#[must_use]
pub fn may_take(board: &Blackboard, target: &TargetName) -> bool {
    is_open(board, target)
        && board.targets.get(target).is_some_and(|view| board.permits.has(target, view.limit, board.now))
}

/// Whether `target` may get new work, permits aside.
#[must_use]
pub fn is_open(board: &Blackboard, target: &TargetName) -> bool {
    let admitted = board.document.content.targets.get(target).is_some_and(|spec| board.document.content.admits(spec));
    admitted && board.targets.get(target).is_some_and(|view| view.resting_until <= board.now)
}
