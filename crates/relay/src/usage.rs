//! Metering: tells the candidates of the duty what this node counted, and reports windows while this node has the duty.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use spdlog::{debug, info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::blackboard::Identity;
use wasabipier_core::clock::{Moment, WallTime};
use wasabipier_core::names::{InstanceId, NodeName};
use wasabipier_core::relay::duties::{DutyKind, DutyTimes, HeldDuty};
use wasabipier_core::relay::rows::{OwnTable, RowWrite};
use wasabipier_core::relay::usage::reports::{UsageReporter, UsageStep, WindowDraft};
use wasabipier_core::relay::usage::{NodeRun, TrueClock, UpdateScope, UsageTable, UsageUpdate};
use wasabipier_wire::relay::current::{CallKind, WireUsage, reported_from_wire};

use crate::clock;
use crate::duty_link::{DutyError, DutyLink};
use crate::log_prefixes::{DUTIES, PEERS};
use crate::metering;
use crate::ports::{DutyHolder, DutyReply, RowReply, StoreFault};
use crate::state::SharedNode;
use crate::store_link::{StoreError, StoreLink};

/// Interval at which a node checks whether candidates are to be told its counts.
const TELL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call that tells a candidate. It is told again a second after the last call.
const TELL_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which the holder checks whether a window is to be reported.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns an empty table of counts, whose windows follow the wall clock as it is now.
pub fn create_table(identity: &Identity, times: &DutyTimes, now: Moment) -> UsageTable {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let clock = TrueClock::new(WallTime(wall.as_millis() as u64), now);
    UsageTable::new(identity.node.clone(), identity.instance, clock, times, now)
}

/// Starts the tasks that tell and report what this node counted, if the nodes have the duty.
pub fn start(node: &SharedNode) {
    if let Some(settings) = node.duties.as_ref().filter(|settings| settings.kinds.contains(&DutyKind::Metering)) {
        spawn_local(run(node.clone()));
        spawn_local(run_reports(node.clone(), DutyLink::new(node, DutyKind::Metering, settings)));
    }
}

/// Tells the candidates what this node counted, until the node ends.
async fn run(node: SharedNode) {
    loop {
        for (address, candidate) in due_candidates(&node) {
            spawn_local(tell_candidate(node.clone(), candidate, address));
        }
        sleep(TELL_CHECK_INTERVAL).await;
    }
}

/// Returns the candidates that are to be told now. Closes and drops old windows.
fn due_candidates(node: &SharedNode) -> Vec<(SocketAddr, NodeName)> {
    let now = clock::now();
    let mut board = node.board.borrow_mut();
    let candidates = board.duty_candidates(DutyKind::Metering, now);
    let is_candidate = candidates.iter().any(|(candidate, _)| *candidate == board.identity.node);
    let addresses: BTreeMap<&NodeName, SocketAddr> =
        candidates.iter().map(|(name, address)| (name, *address)).collect();
    let instance_of = |name: &NodeName| board.members.get(name).map(|view| view.heartbeat.instance);
    let peers: Vec<(NodeName, InstanceId)> =
        candidates.iter().filter_map(|(name, _)| Some((name.clone(), instance_of(name)?))).collect();
    let Some(usage) = &mut board.usage else { return Vec::new() };
    let dropped = usage.maintain(is_candidate, now);
    let due = usage.take_due(&peers, now).into_iter();
    let due = due.filter_map(|name| Some((*addresses.get(name)?, name.clone()))).collect();
    if let (Some(&first), Some(&last)) = (dropped.first(), dropped.last()) {
        warn!("{DUTIES} counts of windows dropped, since too many wait to be reported.", kv: { first, last });
        metering::record_dropped_windows(dropped.len());
    }
    due
}

/// Tells a candidate the counts of this node.
async fn tell_candidate(node: SharedNode, candidate: NodeName, address: SocketAddr) {
    let Some((update, scope)) = build_update(&node, &candidate) else { return };
    match node.peers.call_current(address, CallKind::Usage(WireUsage::from(&update)), TELL_TIMEOUT).await {
        Ok(reply) => {
            if let Some(usage) = &mut node.board.borrow_mut().usage {
                usage.record_confirmed(&candidate, scope, reported_from_wire(reply.reported_end));
            }
        }
        Err(error) => debug!("{PEERS} counts not told to {address}: {error}."),
    }
}

fn build_update(node: &SharedNode, candidate: &NodeName) -> Option<(UsageUpdate, UpdateScope)> {
    let board = node.board.borrow();
    let live = board.members.alive(clock::now()).map(|view| &view.heartbeat);
    let live: BTreeSet<NodeRun> = live.map(|heartbeat| (heartbeat.node.clone(), heartbeat.instance)).collect();
    Some(board.usage.as_ref()?.update_for(candidate, &live))
}

/// Applies what another node told, and returns the newest window that this node knows as reported.
pub fn apply_update(node: &SharedNode, update: UsageUpdate) -> Option<u64> {
    let mut board = node.board.borrow_mut();
    let usage = board.usage.as_mut()?;
    usage.apply(update, clock::now());
    usage.reported()
}

/// Reports windows while this node has the duty, until the node ends.
async fn run_reports(node: SharedNode, interface: DutyLink) {
    let mut task = ReportTask { reporter: UsageReporter::default(), store: StoreLink::new(&node), interface, node };
    loop {
        while let Some((step, held)) = task.next_step() {
            task.run_step(step, held).await;
        }
        sleep(REPORT_CHECK_INTERVAL).await;
    }
}

struct ReportTask {
    node: SharedNode,
    reporter: UsageReporter,
    store: StoreLink,
    interface: DutyLink,
}

impl ReportTask {
    fn next_step(&mut self) -> Option<(UsageStep, HeldDuty)> {
        let (board, now) = (self.node.board.borrow(), clock::now());
        let held = board.duties.held(DutyKind::Metering, now)?;
        Some((self.reporter.next_step(board.usage.as_ref()?, held.fence, now)?, held))
    }

    async fn run_step(&mut self, step: UsageStep, held: HeldDuty) {
        match step {
            UsageStep::ReadRows => {
                let rows = self.read_rows().await;
                if let Err(error) = rows.map(|rows| self.record_rows(held, rows)) {
                    self.record_store_failure("read", None, &error);
                }
            }
            UsageStep::Fix(draft) => {
                let window = draft.window;
                match self.fix_window(draft).await {
                    Ok(content) => self.record_fixed(held, window, content),
                    Err(error) => self.record_store_failure("write", Some(window), &error),
                }
            }
            UsageStep::Send { window, content } => self.send_report(held, window, content).await,
        }
    }

    /// Reads the rows of windows. Rows with another key are skipped.
    async fn read_rows(&mut self) -> Result<Vec<(u64, Arc<[u8]>)>, StoreError> {
        let response = self.store.call(self.node.platform.own_rows_request(OwnTable::Usage)).await?;
        let page = self.node.platform.read_rows(&response, true)?;
        let rows = page.batch.rows.into_iter();
        Ok(rows.filter_map(|row| Some((row.key.parse().ok()?, row.value?))).collect())
    }

    fn record_rows(&mut self, held: HeldDuty, rows: Vec<(u64, Arc<[u8]>)>) {
        let (board, now) = (self.node.board.borrow(), clock::now());
        let Some(usage) = &board.usage else { return };
        let (count, newest) = (rows.len(), rows.iter().map(|(window, _)| *window).max().unwrap_or_default());
        let reported = usage.reported().unwrap_or_default();
        self.reporter.record_rows(usage, held.fence, rows, now);
        info!("{DUTIES} reports of windows read from the store.", kv: { count, newest, reported, fence = held.fence });
    }

    /// Writes the row of a window unless there is one. Returns what the row holds, or `None` if it has been removed.
    async fn fix_window(&mut self, draft: WindowDraft) -> Result<Option<Arc<[u8]>>, StoreError> {
        let platform = &self.node.platform;
        let counted = || Arc::from(&*platform.encode_usage(draft.window, &draft.counts));
        let content: Arc<[u8]> = draft.content.clone().unwrap_or_else(counted);
        let write = RowWrite {
            table: OwnTable::Usage,
            key: draft.window.to_string().into(),
            value: content.clone(),
            expected_version: 0,
            removed_key: draft.expired.map(|window| window.to_string().into()),
        };
        let request = platform.row_write_request(&write);
        let response = self.store.call(request).await?;
        match self.node.platform.read_row_reply(&response)? {
            RowReply::Written(_) => {
                self.log_fixed(&draft, "written");
                Ok(Some(content))
            }
            RowReply::Conflict { row, .. } => {
                self.log_fixed(&draft, "exists");
                Ok(row.ok_or(StoreFault::Malformed)?.value)
            }
        }
    }

    fn log_fixed(&self, draft: &WindowDraft, row: &str) {
        let (board, now) = (self.node.board.borrow(), clock::now());
        let Some(usage) = &board.usage else { return };
        let live = board.members.alive(now).map(|view| &view.heartbeat.node);
        let (told, silent) = usage.node_counts(draft.window, live.chain([&board.identity.node]));
        let (window, orgs, sum) = (draft.window, draft.counts.len(), draft.counts.values().sum::<u64>());
        let age_ms = usage.clock().age(window, now).as_millis() as u64;
        info!("{DUTIES} window fixed.", kv: { window, row, sum, orgs, told, silent, age_ms });
    }

    fn record_fixed(&mut self, held: HeldDuty, window: u64, content: Option<Arc<[u8]>>) {
        let mut board = self.node.board.borrow_mut();
        let Some(usage) = &mut board.usage else { return };
        match content {
            Some(content) => self.reporter.record_fixed(usage, held.fence, window, content),
            // Only rows of windows that have been reported are removed.
            None => self.reporter.record_accepted(usage, window),
        }
    }

    /// Sends the report of a window to the platform, if this node still has the duty.
    async fn send_report(&mut self, held: HeldDuty, window: u64, content: Arc<[u8]>) {
        let holder = self.node.board.borrow().identity.node.clone();
        let holder = DutyHolder { node: &holder, fence: held.fence };
        let request = self.node.platform.usage_request(holder, Bytes::copy_from_slice(&content));
        let answer = self.interface.call(held, request).await;
        let now = clock::now();
        let mut board = self.node.board.borrow_mut();
        let Some(usage) = &mut board.usage else { return };
        let age = usage.clock().age(window, now);
        let age_ms = age.as_millis() as u64;
        let reply = answer.as_ref().map_or_else(ToString::to_string, ToString::to_string);
        match answer {
            Ok(DutyReply::Accepted) => {
                let is_late = age > usage.report_timeout();
                self.reporter.record_accepted(usage, window);
                metering::record_reported_window(is_late);
                info!("{DUTIES} window reported.", kv: { window, bytes = content.len(), age_ms, late = is_late, fence = held.fence });
            }
            // The row holds the report for the next holder.
            Ok(DutyReply::Fenced) | Err(DutyError::RightEnded) => {}
            Ok(DutyReply::Refused) | Err(DutyError::Link(_)) => {
                let retry_ms = self.reporter.record_failure(now).as_millis() as u64;
                warn!("{DUTIES} report not accepted; trying again.", kv: { window, reply = reply.as_str(), age_ms, retry_ms });
            }
        }
    }

    fn record_store_failure(&mut self, call: &str, window: Option<u64>, error: &StoreError) {
        let retry_ms = self.reporter.record_failure(clock::now()).as_millis() as u64;
        let (window, error) = (window.unwrap_or_default(), error.to_string());
        warn!("{DUTIES} no answer of the store about a window; trying again.", kv: { call, window, error = error.as_str(), retry_ms });
    }
}
