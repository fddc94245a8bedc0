//! Finds out whether a target crashed while it held a call, blames the content of the call, and tells peers. Content that
//! a run has proven sound is exonerated.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::names::NodeName;
use wasabipier_core::relay::suspect_row::{SuspectRow, SuspectRowWrite};
use wasabipier_core::relay::suspects::{CrashId, HarmfulContent, RunStage, SuspectChange, SuspectKey, SuspectReport};
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::crash_probe::{self, TargetProbe};
use crate::heartbeats;
use crate::log_prefixes::REQUEST;
use crate::metering;
use crate::ports::SuspectRowReply;
use crate::state::SharedNode;
use crate::store_link::StoreLink;

/// Interval at which a node checks whether it has to write the harmful content into the store, if that has not changed.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of other targets of a data centre that are connected to, one after the other, to find out whether it is
/// the data centre that has failed.
const MAX_OUTAGE_CONTROLS: usize = 4;

/// Suspects the content `keys` of the request `id`, whose call broke at the stage `run`, if that proves nothing and the
/// target is down.
pub async fn handle_broken_call(node: &SharedNode, id: &str, keys: &[SuspectKey], entry: &TargetEntry, run: RunStage) {
    if node.board.borrow().suspects.is_proof(run) {
        return;
    }
    let probe = crash_probe::probe_target(node, entry).await;
    suspect_content(node, id, keys, entry, run, probe);
}

/// Suspects the content `keys` of the request `id`, whose call broke at the stage `run`, if `probe` shows that the target is
/// down.
fn suspect_content(
    node: &SharedNode,
    id: &str,
    keys: &[SuspectKey],
    entry: &TargetEntry,
    run: RunStage,
    probe: TargetProbe,
) {
    let (is_down, evidence) = (probe.shows_crash(), probe.evidence());
    metering::record_broken_call(entry.service.as_str(), is_down);
    let now = clock::now();
    if node.log_limiter.allows(now) {
        let (target, incarnation, content) =
            (entry.target.as_str(), entry.incarnation.unwrap_or_default(), join_keys(keys));
        let (content, is_refused) = (content.as_str(), evidence.is_refused);
        let (others, peer) = (describe(evidence.reaches_others), describe(evidence.is_reached_by_peer));
        let witness = evidence.is_missed_by_witness;
        let answering_ms = run.answering_time().as_millis() as u64;
        info!("{REQUEST} call broke early.",
            kv: { id, target, incarnation, answering_ms, is_down, is_refused, reaches_others = others, peer_reaches = peer, witness, content });
    }
    // The crash of a target that is leaving is no surprise: it may have been stopped with calls open.
    if !is_down || entry.leaving {
        return;
    }
    let change = node.board.borrow_mut().suspects.record_crash(keys, CrashId::from(entry), now);
    handle_change(node, &change, entry.target.as_str());
    if change.is_new {
        node.heartbeat_now.notify_one();
        spawn_local(look_for_outage(node.clone(), entry.clone()));
    }
}

/// Finds out whether other targets in the data centre of a target that has crashed go on, if the blame depends on it. An
/// outage has taken them all when the time is over in which crashes are one incident.
async fn look_for_outage(node: SharedNode, entry: TargetEntry) {
    let crash = CrashId::from(&entry);
    let window = node.board.borrow().tuning.suspect_limits.incident_window;
    sleep(window).await;
    let controls = {
        let (mut board, now) = (node.board.borrow_mut(), clock::now());
        if !board.suspects.is_isolation_sought(crash, now) {
            return;
        }
        board.outage_controls(&entry, MAX_OUTAGE_CONTROLS, now)
    };
    let mut survivor = None;
    for control in &controls {
        if crash_probe::is_reached(&node, control).await {
            survivor = Some(control.target.as_str());
            break;
        }
    }
    let now = clock::now();
    if node.log_limiter.allows(now) {
        let (target, dc, survivor) = (entry.target.as_str(), entry.dc.as_str(), survivor.unwrap_or("none"));
        info!("{REQUEST} crash compared with its data centre.", kv: { target, dc, survivor, tried = controls.len() });
    }
    if survivor.is_none() {
        return;
    }
    let change = node.board.borrow_mut().suspects.record_isolated(crash, now);
    handle_change(&node, &change, entry.target.as_str());
    if change.is_new {
        node.heartbeat_now.notify_one();
    }
}

/// Returns what attempts to connect have shown, for the log.
fn describe(shown: Option<bool>) -> &'static str {
    match shown {
        Some(true) => "yes",
        Some(false) => "no",
        None => "unknown",
    }
}

/// Exonerates the content `keys` of a request that has run at `target` up to the stage `run`, if that proves it sound.
/// Returns whether it does.
pub fn handle_run(node: &SharedNode, keys: &[SuspectKey], target: &str, run: RunStage) -> bool {
    if !node.board.borrow().suspects.is_proof(run) {
        return false;
    }
    let (change, is_urgent) = {
        let mut board = node.board.borrow_mut();
        let is_urgent = board.suspects.is_nearly_harmful(keys);
        (board.suspects.record_proof(keys, clock::now()), is_urgent)
    };
    handle_change(node, &change, target);
    if change.is_new && is_urgent {
        node.heartbeat_now.notify_one();
    }
    true
}

/// Exonerates the content `keys` of the request `id`, whose answer ended with its connection, unless the target is down:
/// a target that crashes ends its connections, too.
pub async fn handle_unframed_end(node: &SharedNode, id: &str, keys: &[SuspectKey], entry: &TargetEntry) {
    if !node.board.borrow().suspects.is_suspected(keys) {
        return;
    }
    let probe = crash_probe::probe_target(node, entry).await;
    if probe.is_up() {
        handle_run(node, keys, entry.target.as_str(), RunStage::Complete);
    } else {
        suspect_content(node, id, keys, entry, RunStage::Waiting, probe);
    }
}

/// Merges the suspects that `peer` reports. A hub passes news on at once, other nodes with their next heartbeat.
pub fn learn_suspects(node: &SharedNode, peer: &NodeName, reports: &[SuspectReport]) {
    if reports.is_empty() {
        return;
    }
    let now = clock::now();
    let change = node.board.borrow_mut().suspects.merge_reports(reports, now);
    handle_change(node, &change, peer.as_str());
    if change.is_new && node.board.borrow().is_hub(now) {
        node.heartbeat_now.notify_one();
    }
}

/// Merges the suspects that the store's row names, if the page of the nodes' announcements has it.
pub fn learn_from_store(node: &SharedNode, response: &Response<Bytes>) {
    if let Some(row) = node.platform.read_suspect_row(response) {
        merge_row(node, &row);
    }
}

fn merge_row(node: &SharedNode, row: &SuspectRow) {
    let change = node.board.borrow_mut().record_suspect_row(row, clock::now());
    handle_change(node, &change, "store");
}

/// Writes the harmful content into the store when it has changed, if it is this node's turn, until the node ends.
pub async fn record_suspects(node: SharedNode) {
    let mut link = StoreLink::new(&node);
    loop {
        tokio::select! {
            () = sleep(RECORD_INTERVAL) => {}
            () = node.verdicts_changed.notified() => {}
        }
        let due = node.board.borrow_mut().take_suspect_row_write(clock::now());
        if let Some(write) = due {
            write_row(&node, &mut link, &write).await;
        }
    }
}

async fn write_row(node: &SharedNode, link: &mut StoreLink, write: &SuspectRowWrite) {
    let answer = link.call(node.platform.suspect_row_request(write)).await;
    let reply = answer.and_then(|response| Ok(node.platform.read_suspect_row_reply(&response)?));
    let suspects = write.reports.len();
    match reply {
        Ok(SuspectRowReply::Written(version)) => {
            let text = version.to_string();
            info!("{REQUEST} harmful content recorded.", kv: { suspects, version = text.as_str() });
            node.board.borrow_mut().record_suspect_row_written(write, version);
        }
        Ok(SuspectRowReply::Conflict(row)) => {
            let (version, found) = (row.version.to_string(), row.reports.len());
            info!("{REQUEST} harmful content not recorded; the row has changed.", kv: { suspects, found, version = version.as_str() });
            merge_row(node, &row);
        }
        Err(error) => {
            let error = error.to_string();
            warn!("{REQUEST} harmful content not recorded; trying again.", kv: { suspects, error = error.as_str() });
        }
    }
}

/// Forgets suspects whose last crash is long ago.
pub fn forget_old_suspects(node: &SharedNode) {
    let change = node.board.borrow_mut().suspects.remove_expired(clock::now());
    handle_change(node, &change, "age");
}

/// Logs content that became harmful or was cleared through news from `source`, a target or a peer, and tells the nodes
/// that follow this hub.
fn handle_change(node: &SharedNode, change: &SuspectChange, source: &str) {
    for content in &change.blamed {
        let (age_ms, crashes) = node.board.borrow().suspects.describe(content, clock::now());
        let (incidents, content, crashes) = (content.incidents, content.to_string(), crashes.as_str());
        let content = content.as_str();
        metering::record_verdict("blamed");
        warn!("{REQUEST} content crashes targets and is refused.", kv: { content, incidents, source, age_ms, crashes });
    }
    for content in &change.cleared {
        let content = content.to_string();
        metering::record_verdict("cleared");
        warn!("{REQUEST} content is cleared.", kv: { content = content.as_str(), source });
    }
    if !change.blamed.is_empty() || !change.cleared.is_empty() {
        node.verdicts_changed.notify_one();
        heartbeats::notify_followers(node);
    }
}

/// Logs that the request `id` gets no attempt, or no further one, because of `content`.
pub fn log_refused(node: &SharedNode, id: &str, content: &HarmfulContent) {
    metering::record_verdict("refused");
    if node.log_limiter.allows(clock::now()) {
        let content = content.to_string();
        info!("{REQUEST} content refused.", kv: { id, content = content.as_str() });
    }
}

fn join_keys(keys: &[SuspectKey]) -> String {
    keys.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
