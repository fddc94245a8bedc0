//! Applies rows of the store's tables, whether the store or a peer sent them, to the board.

use spdlog::{info, warn};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableId};
use wasabipier_core::relay::store_restoration::ReplacedCopy;
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::targets::EntryEffect;

use crate::clock;
use crate::heartbeats;
use crate::log_prefixes::STORE;
use crate::metering;
use crate::state::SharedNode;

/// Applies rows to the copy of a table, and the changed rows to the board. `confirmed_at` is the latest time at which
/// the rows are known to have been the current state of the store; `source` is logged.
pub fn apply_rows(node: &SharedNode, table: TableId, batch: &RowBatch, confirmed_at: Moment, source: &str) {
    let applied = node.board.borrow_mut().apply_batch(table, batch, confirmed_at, clock::now());
    match &applied.replaced {
        Some(replaced) if replaced.version == StoreVersion::NONE => log_first_orders(node, batch.version, source),
        Some(replaced) => {
            log_restoration(table, replaced.version, batch.version, source);
            metering::record_store_restoration(&table.to_string());
            node.store_restored.notify_one();
        }
        None => {}
    }
    for row in &applied.changed {
        match table {
            TableId::Orders => apply_order(node, row, applied.replaced.as_ref(), source),
            TableId::Targets => apply_target(node, row, source),
        }
    }
    let changed = applied.changed;
    if !changed.is_empty() {
        node.piece_waiters.wake_queues();
        heartbeats::notify_followers(node);
    }
    start_serving_if_ready(node);
}

/// Lets a starting node serve once it knows enough.
pub fn start_serving_if_ready(node: &SharedNode) {
    let mut board = node.board.borrow_mut();
    if board.state == NodeState::Starting && board.can_serve(node.started_at, clock::now()) {
        board.state = NodeState::Serving;
        drop(board);
        info!("{STORE} document and targets loaded; serving.");
        node.heartbeat_now.notify_one();
    }
}

fn log_restoration(table: TableId, restored_from: StoreVersion, version: StoreVersion, source: &str) {
    let (table, from, version) = (table.to_string(), restored_from.to_string(), version.to_string());
    let (table, from, version) = (table.as_str(), from.as_str(), version.as_str());
    warn!("{STORE} the store was restored from an older copy.", kv: { table, from, version, source });
}

/// Logs the first read of the orders in an era in which the store may have lost some, and whether it is known to be settled.
fn log_first_orders(node: &SharedNode, version: StoreVersion, source: &str) {
    let is_settled = node.board.borrow().restoration_wait(clock::now()).is_none();
    let version = version.to_string();
    info!("{STORE} orders read at the start.", kv: { version = version.as_str(), source, settled = is_settled });
}

/// Describes an order for the log.
pub fn describe_order(change: &OrderChange) -> String {
    match change {
        OrderChange::Document(index) => format!("document {}", index.version),
        OrderChange::Close(dc) => format!("{dc} gets no new work"),
        OrderChange::Open(dc) => format!("{dc} takes work again"),
        OrderChange::Rollout(order) => {
            format!("{} moves to {} within {:?}", order.service, order.candidate, order.duration)
        }
        OrderChange::RolloutWithdrawn(service) => format!("{service} is not moved any more"),
    }
}

/// Applies an order. `replaced` is the copy before, if the row was read with the restored state of the store.
fn apply_order(node: &SharedNode, row: &SharedRow, replaced: Option<&ReplacedCopy>, source: &str) {
    let (key, version) = (&*row.key, row.version.number);
    let bytes = row.value.as_ref().map_or(0, |value| value.len());
    match node.platform.read_order(row) {
        Ok(Some(change)) => {
            let what = describe_order(&change);
            let mut board = node.board.borrow_mut();
            let changed = match replaced {
                Some(replaced) => board.apply_restored_order(key, change, replaced, clock::now()),
                None => board.apply_order(change, clock::now()),
            };
            info!("{STORE} order read.", kv: { key, version, source, bytes, what = what.as_str(), changed });
        }
        Ok(None) => info!("{STORE} order does not concern this node.", kv: { key, version, source }),
        Err(fault) => {
            let is_document = node.platform.is_document(row);
            if is_document {
                node.board.borrow_mut().record_undecodable_document();
            }
            warn!("{STORE} order could not be decoded; the previous one stays in force.", kv: { key, version, source, is_document, fault = fault.as_str() });
        }
    }
}

fn apply_target(node: &SharedNode, row: &SharedRow, source: &str) {
    let now = clock::now();
    let (key, version) = (&*row.key, row.version.number);
    if row.value.is_none() {
        let target = node.platform.target_name(row);
        node.board.borrow_mut().handle_target_removed(&target, row.version, now);
        info!("{STORE} target entry removed.", kv: { target = key, version, source });
        return;
    }
    match node.platform.read_target(row) {
        Ok(entry) => {
            let (leaving, cold_ms) = (entry.leaving, entry.cold_time.as_millis() as u64);
            let service = entry.service.to_string();
            if node.board.borrow_mut().upsert_target(entry, now) == EntryEffect::Outdated {
                return;
            }
            info!("{STORE} target entry updated.", kv: { target = key, version, source, service = service.as_str(), leaving, cold_ms });
        }
        Err(fault) => {
            let target = node.platform.target_name(row);
            node.board.borrow_mut().handle_target_removed(&target, row.version, now);
            warn!("{STORE} target entry could not be decoded; the target gets no work.", kv: { target = key, version, source, fault = fault.as_str() });
        }
    }
}
