//! Finds out that targets have started again under the entry that they had, and asks them how long they stay cold.

use std::time::Duration;

use http_body_util::Full;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::crash_probe;
use crate::log_prefixes::TARGETS;
use crate::state::SharedNode;

/// Timeout of a target's answer about its health, which waits for room like any other.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that a target is asked.
const MAX_QUESTIONS: usize = 3;

/// Checks whether the process of a target has ended that this node could not connect to just now, if its calls depend on
/// that.
pub fn check_process(node: &SharedNode, entry: &TargetEntry) {
    if !node.board.borrow_mut().begin_process_check(entry) {
        return;
    }
    let (node, entry) = (node.clone(), entry.clone());
    spawn_local(async move {
        let evidence = crash_probe::probe_target(&node, &entry).await.evidence();
        if node.board.borrow_mut().finish_process_check(&entry, evidence) {
            info!("{TARGETS} process of the target has ended.", kv: { target = entry.target.as_str() });
        }
    });
}

/// Handles that a target accepts connections: asks one that has started again how long it stays cold, unless its entry
/// tells before.
pub fn handle_accepting(node: &SharedNode, entry: &TargetEntry) {
    let Some(delay) = node.board.borrow_mut().record_accepting(&entry.target, clock::now()) else { return };
    info!("{TARGETS} target has started again without an entry; it counts as cold.", kv: { target = entry.target.as_str() });
    spawn_local(ask_later(node.clone(), entry.clone(), delay));
}

async fn ask_later(node: SharedNode, entry: TargetEntry, delay: Duration) {
    sleep(delay).await;
    for _ in 0..MAX_QUESTIONS {
        if !node.board.borrow().is_restarted(&entry, clock::now()) {
            return;
        }
        if let Ok(Some(cold_time)) = timeout(HEALTH_TIMEOUT, ask(&node, &entry)).await {
            node.board.borrow_mut().targets.record_cold_time(&entry, cold_time, clock::now());
            let (target, cold_ms) = (entry.target.as_str(), cold_time.as_millis() as u64);
            info!("{TARGETS} target that has started again told how long it stays cold.", kv: { target, cold_ms });
            return;
        }
        sleep(RelayBoard::ENTRY_TIME).await;
    }
}

/// Asks a target for its health. Returns the time for which it stays cold, or `None` if it does not tell.
async fn ask(node: &SharedNode, entry: &TargetEntry) -> Option<Duration> {
    let path = {
        let mut board = node.board.borrow_mut();
        board.charge_permit(&entry.service, &entry.target, clock::now());
        board.health_path(&entry.service)?
    };
    let request = node.platform.health_request(entry, &path)?;
    let mut connection = node.pool.acquire(node, entry, false).await.ok()?;
    let response = connection.sender.send_request(request.map(Full::new)).await.ok()?;
    let head = node.platform.read_answer(response.status(), response.headers());
    let is_its_own = head.target.as_ref() == Some(&entry.target);
    (response.status().is_success() && is_its_own).then(|| head.cold_time.unwrap_or_default())
}
