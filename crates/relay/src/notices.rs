//! Handles what targets say of themselves in their answers.

use spdlog::info;
use wasabipier_core::relay::slow_start::LimitChange;
use wasabipier_core::relay::target_load::LoadNotice;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::log_prefixes::TARGETS;
use crate::metering;
use crate::ports::AnswerHead;
use crate::state::SharedNode;

/// Records the notices in the head of an answer of the target of `entry`.
pub fn record_answer(node: &SharedNode, entry: &TargetEntry, head: &AnswerHead) {
    let target = &entry.target;
    match head.load {
        LoadNotice::Absent => {}
        LoadNotice::Stated(load) => node.board.borrow_mut().targets.record_load(entry, load, clock::now()),
        LoadNotice::Malformed => metering::record_malformed_load(),
    }
    if let Some(pause) = head.declined_time {
        node.board.borrow_mut().targets.record_decline(entry, pause, clock::now());
        if node.log_limiter.allows(clock::now()) {
            let pause_ms = pause.as_millis() as u64;
            info!("{TARGETS} target wants no calls for a time.", kv: { target = target.as_str(), pause_ms });
        }
    }
    if head.is_leaving && node.board.borrow_mut().targets.record_leaving(entry) {
        info!("{TARGETS} target says that it leaves.", kv: { target = target.as_str() });
        node.piece_waiters.wake_queues();
    }
}

/// Logs the changes of targets' limits since the last call, and counts them.
pub fn publish_limit_changes(node: &SharedNode) {
    let changes = node.board.borrow_mut().targets.take_limit_changes();
    for change in changes {
        metering::record_limit_change(&change);
        if node.log_limiter.allows(clock::now()) {
            let LimitChange { target, step, cause, limit, relative_time, load_age, .. } = &change;
            let concurrency = change.concurrency;
            let (target, step, cause): (_, &str, &str) = (target.as_str(), step.into(), cause.into());
            let (limit, relative) = (format!("{limit:.1}"), format!("{relative_time:.2}"));
            let (limit, relative) = (limit.as_str(), relative.as_str());
            let age_ms = load_age.map_or(-1, |age| age.as_millis() as i64);
            info!("{TARGETS} limit of calls in flight {step}.", kv: { target, cause, limit, concurrency, relative, age_ms });
        }
    }
}
