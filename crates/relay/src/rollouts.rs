//! Advances rollouts: evaluates what the calls of all nodes show, tells peers of changes, and records states in the
//! store.

use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::judge::VersionFinding;
use wasabipier_core::relay::rollout::{RolloutChange, RolloutWrite};
use wasabipier_core::tally::RouteTally;

use crate::clock;
use crate::heartbeats;
use crate::log_prefixes::ROLLOUTS;
use crate::metering;
use crate::ports::RolloutReply;
use crate::state::SharedNode;
use crate::store_link::{StoreError, StoreLink};

/// Interval at which rollouts are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a write without an answer, before it is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Advances rollouts until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        let now = clock::now();
        let changes = node.board.borrow_mut().advance_rollouts(now);
        for change in &changes {
            log_change(change);
            metering::record_rollout(change);
        }
        if !changes.is_empty() {
            heartbeats::heartbeat_partners(&node);
            heartbeats::notify_followers(&node);
        }
        let writes = node.board.borrow_mut().take_rollout_writes(now);
        for write in writes {
            spawn_local(record_state(node.clone(), write));
        }
    }
}

fn log_change(change: &RolloutChange) {
    let (service, candidate) = (change.order.service.as_str(), change.order.candidate.as_str());
    let phase = change.phase.to_string();
    let recorded = change.recorded.map(|state| state.to_string()).unwrap_or_default();
    let finding = change.finding.as_ref().map(VersionFinding::to_string).unwrap_or_default();
    let (candidate_calls, stable_calls) = (format_tally(change.totals.0), format_tally(change.totals.1));
    let age_ms = change.age.as_millis() as u64;
    info!("{ROLLOUTS} rollout changed.", kv: {
        service, candidate, phase = phase.as_str(), recorded = recorded.as_str(), finding = finding.as_str(), age_ms,
        candidate_calls = candidate_calls.as_str(), stable_calls = stable_calls.as_str()
    });
}

/// Returns faults of calls and slow ones of timed calls, each at warm and cold targets.
fn format_tally(tally: RouteTally) -> String {
    let RouteTally { calls, faults, timed, slow, cold_calls, cold_faults, cold_timed, cold_slow, .. } = tally;
    format!("faults:{faults}/{calls}+{cold_faults}/{cold_calls},slow:{slow}/{timed}+{cold_slow}/{cold_timed}")
}

/// Writes the state of a rollout into the store.
async fn record_state(node: SharedNode, write: RolloutWrite) {
    let mut link = StoreLink::new(&node);
    let request = node.platform.rollout_request(&write);
    let answer = link.call(request).await;
    let reply = answer.and_then(|response| Ok(node.platform.read_rollout_reply(&response)?));
    let (service, state) = (write.service.as_str(), write.state.to_string());
    let state = state.as_str();
    match reply {
        Ok(RolloutReply::Written(written)) => {
            let (version, era) = (written.number, written.era);
            info!("{ROLLOUTS} state recorded.", kv: { service, state, version, era });
            node.board.borrow_mut().rollouts.record_written(&write, written, clock::now());
        }
        Ok(RolloutReply::Conflict(record)) => {
            let found = record.content.as_ref().map(|(_, state)| state.to_string()).unwrap_or_default();
            let version = record.version.number;
            info!("{ROLLOUTS} state not recorded; the row has changed.", kv: { service, state, found = found.as_str(), version });
            node.board.borrow_mut().rollouts.record_conflict(&write, &record, clock::now());
        }
        Err(error) => {
            log_failed_write(&write, &error);
            sleep(RETRY_PAUSE).await;
            node.board.borrow_mut().rollouts.record_write_failure(&write);
        }
    }
}

fn log_failed_write(write: &RolloutWrite, error: &StoreError) {
    let (service, state, error) = (write.service.as_str(), write.state.to_string(), error.to_string());
    warn!("{ROLLOUTS} no answer to the write of a state; trying again.", kv: { service, state = state.as_str(), error = error.as_str() });
}
