//! Handles what targets say of themselves in their answers.

use spdlog::info;
use wasabipier_core::names::TargetName;

use crate::clock;
use crate::log_prefixes::TARGETS;
use crate::ports::AnswerHead;
use crate::state::SharedNode;

/// Records the notices in the head of an answer of `target`.
pub fn record_answer(node: &SharedNode, target: &TargetName, head: &AnswerHead) {
    if let Some(pause) = head.declined_time {
        node.board.borrow_mut().targets.record_decline(target, pause, clock::now());
        if node.log_limiter.allows(clock::now()) {
            let pause_ms = pause.as_millis() as u64;
            info!("{TARGETS} target wants no calls for a time.", kv: { target = target.as_str(), pause_ms });
        }
    }
    if head.is_leaving && node.board.borrow_mut().targets.record_leaving(target) {
        info!("{TARGETS} target says that it leaves.", kv: { target = target.as_str() });
        node.piece_waiters.wake_queues();
    }
}
