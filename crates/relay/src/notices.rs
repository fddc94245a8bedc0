//! Handles what targets say of themselves in their answers.

use spdlog::info;
use wasabipier_core::names::TargetName;

use crate::log_prefixes::TARGETS;
use crate::ports::AnswerHead;
use crate::state::SharedNode;

/// Records the notices in the head of an answer of `target`.
pub fn record_answer(node: &SharedNode, target: &TargetName, head: &AnswerHead) {
    if head.is_leaving && node.board.borrow_mut().targets.record_leaving(target) {
        info!("{TARGETS} target says that it leaves.", kv: { target = target.as_str() });
        node.piece_waiters.wake_queues();
    }
}
