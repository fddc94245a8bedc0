//! Keeps the copies of the store's tables up to date, from the store or from a peer that reaches it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::members::TableProof;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, SharedTable, TableCopy, proven_at};
use wasabipier_wire::relay::{WireCall, WireReply, row_batch_from_wire, table_number};

use crate::announce;
use crate::clock;
use crate::metering;
use crate::part::STORE;
use crate::ports::{RowPage, StoreFault};
use crate::sockets;
use crate::state::SharedNode;

/// Pause after a failed call, doubled with each further one up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Shortest time from one call for changes to the next: many targets that start at a time are read together.
const BETWEEN_CALLS: Duration = Duration::from_millis(100);
/// Interval at which a node that does not read the store looks whether it has to.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Part of the age at which others read the store themselves for which a hub's call is held.
const HUB_WAIT_PART: u32 = 2;
/// Multiple of the longest pause that nodes with a hub may take: the hub tells them when the store is back.
const FOLLOWERS_WAIT: u32 = 3;
/// Time for a connection to the store.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// Time for a peer to hand its copy over.
const PEER_WITHIN: Duration = Duration::from_millis(500);
/// Age of a copy beyond the usual at which a peer is asked.
const ASK_PEER_AFTER: Duration = Duration::from_secs(2);
/// How much newer a peer's copy must be.
const NEWER_BY: Duration = Duration::from_millis(500);

/// Why a call to the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Http(#[from] hyper::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Silent,
    /// The answer brings nothing.
    #[error("{0}")]
    Fault(#[from] StoreFault),
}

/// One connection to the store.
pub struct StoreLink {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl StoreLink {
    /// A link that connects when it is first used.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Makes a call. After a failure the connection is not used again: what it brings may belong to that call.
    ///
    /// # Errors
    ///
    /// Why there is no answer; a write may have been done.
    pub async fn call(&mut self, request: Request<Bytes>, within: Duration) -> Result<(StatusCode, Bytes), StoreError> {
        let sender = self.sender.take();
        let call = timeout(within, exchange(self.address, sender, request)).await;
        let answer = call.unwrap_or(Err(StoreError::Silent));
        metering::store_called(if answer.is_ok() { "answered" } else { "failed" });
        let (sender, status, body) = answer?;
        self.sender = Some(sender);
        Ok((status, body))
    }
}

async fn exchange(
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    request: Request<Bytes>,
) -> Result<(SendRequest<Full<Bytes>>, StatusCode, Bytes), StoreError> {
    let mut sender = match sender.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    let response = sender.send_request(request.map(Full::new)).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((sender, status, body))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let stream = sockets::connect(address, CONNECT_WITHIN).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // How it ended shows at the call that used it.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Follows one table of the store until the node ends.
pub async fn follow(node: SharedNode, table: SharedTable) {
    let mut link = StoreLink::new(node.addresses.store);
    let mut whole = true;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        if !node.board.borrow().reads_store(table, clock::now()) {
            sleep(LOOK_AGAIN).await;
            continue;
        }
        let asked = clock::now();
        let wait = if whole { Duration::ZERO } else { held_for(&node) };
        let read = if whole {
            read_whole(&node, &mut link, table).await
        } else {
            read_changes(&node, &mut link, table, wait).await
        };
        match read {
            Ok(batch) => {
                let proven = proven_at(&batch, asked, wait, clock::now());
                if std::mem::take(&mut is_lost) {
                    info!("{STORE} the store answers again.", kv: { table = table.to_string().as_str() });
                }
                node.board.borrow_mut().record_store_answer(clock::now());
                apply(&node, table, &batch, proven, "store");
                (whole, pause) = (false, FIRST_PAUSE);
                // Changes that come close together are read in one call.
                sleep(BETWEEN_CALLS.saturating_sub(clock::now().since(asked))).await;
            }
            Err(StoreError::Fault(StoreFault::HistoryGone)) => {
                info!("{STORE} history is gone; reading the whole table.", kv: { table = table.to_string().as_str() });
                whole = true;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let (table, error) = (table.to_string(), error.to_string());
                    warn!("{STORE} the store does not answer.", kv: { table = table.as_str(), error = error.as_str() });
                }
                node.board.borrow_mut().record_store_unreachable();
                sleep(pause.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
                let has_hub = !node.board.borrow().is_store_reader(clock::now());
                pause = (pause * 2).min(if has_hub { LONGEST_PAUSE * FOLLOWERS_WAIT } else { LONGEST_PAUSE });
            }
        }
    }
}

async fn read_whole(node: &SharedNode, link: &mut StoreLink, table: SharedTable) -> Result<RowBatch, StoreError> {
    let mut all: Option<RowBatch> = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let request = node.port.rows_request(table, after.as_deref());
        let (status, body) = link.call(request, node.times.store_slack).await?;
        let RowPage { batch, next } = node.port.read_rows(status, &body, true)?;
        match &mut all {
            // Changes between two pages are told from the first page's version on.
            Some(all) => all.rows.extend(batch.rows),
            None => all = Some(batch),
        }
        match next {
            Some(key) => after = Some(key),
            None => return Ok(all.unwrap_or_default()),
        }
    }
}

/// Time for which the store may hold a call: others depend on a hub's copies, which get as old as its last call.
fn held_for(node: &SharedNode) -> Duration {
    let board = node.board.borrow();
    let hub_wait = board.tuning.max_hub_copy_age / HUB_WAIT_PART;
    if board.is_small_fleet() { node.times.store_wait } else { node.times.store_wait.min(hub_wait) }
}

async fn read_changes(
    node: &SharedNode,
    link: &mut StoreLink,
    table: SharedTable,
    wait: Duration,
) -> Result<RowBatch, StoreError> {
    let after = node.board.borrow().copies.get(&table).map_or(0, TableCopy::version);
    let request = node.port.changes_request(table, after, wait);
    let (status, body) = link.call(request, wait + node.times.store_slack).await?;
    Ok(node.port.read_rows(status, &body, false)?.batch)
}

/// Takes rows in that were the newest at `asked`.
fn apply(node: &SharedNode, table: SharedTable, batch: &RowBatch, asked: Moment, source: &str) {
    let changed = node.board.borrow_mut().copies.entry(table).or_default().apply(batch, asked);
    for row in &changed {
        match table {
            SharedTable::Orders => apply_order(node, row, source),
            SharedTable::Targets => apply_target(node, row, source),
        }
    }
    if !changed.is_empty() {
        node.waits.wake();
        announce::tell_followers(node);
    }
    let mut board = node.board.borrow_mut();
    let is_complete =
        board.index.version > 0 && board.copies.get(&SharedTable::Targets).is_some_and(|copy| copy.version() > 0);
    if board.state == NodeState::Starting && is_complete {
        board.state = NodeState::Serving;
        drop(board);
        info!("{STORE} document and targets are known; serving.", kv: { source });
        node.heartbeat_now.notify_one();
    }
}

fn apply_order(node: &SharedNode, row: &SharedRow, source: &str) {
    let (key, version) = (&*row.key, row.version);
    match node.port.read_order(row) {
        Ok(Some(change)) => {
            let what = match &change {
                OrderChange::Document(index) => format!("document {}", index.version),
                OrderChange::Close(dc) => format!("{dc} gets no new work"),
                OrderChange::Open(dc) => format!("{dc} takes work again"),
            };
            let changed = node.board.borrow_mut().apply_order(change);
            info!("{STORE} order read.", kv: { key, version, source, what = what.as_str(), changed });
        }
        Ok(None) => info!("{STORE} order without effect here.", kv: { key, version, source }),
        Err(fault) => {
            warn!("{STORE} order cannot be read; the one before stays in force.", kv: { key, version, source, fault = fault.as_str() });
        }
    }
}

fn apply_target(node: &SharedNode, row: &SharedRow, source: &str) {
    let now = clock::now();
    let (key, version) = (&*row.key, row.version);
    if row.value.is_none() {
        let target = node.port.target_of(row);
        node.board.borrow_mut().handle_target_removed(&target, now);
        info!("{STORE} target's entry is gone.", kv: { target = key, version, source });
        return;
    }
    match node.port.read_target(row) {
        Ok(entry) => {
            let (leaving, cold_ms) = (entry.leaving, entry.cold_for.as_millis() as u64);
            let service = entry.service.to_string();
            node.board.borrow_mut().upsert_target(entry, now);
            info!("{STORE} target's entry.", kv: { target = key, version, source, service = service.as_str(), leaving, cold_ms });
        }
        Err(fault) => {
            let target = node.port.target_of(row);
            node.board.borrow_mut().handle_target_removed(&target, now);
            warn!("{STORE} target's entry cannot be read; it gets no work.", kv: { target = key, version, source, fault = fault.as_str() });
        }
    }
}

/// Asks peers for copies that are newer than this node's, if the store does not bring them.
pub fn ask_peers(node: &SharedNode) {
    let now = clock::now();
    for table in [SharedTable::Orders, SharedTable::Targets] {
        let Some(address) = newer_peer(node, table, now) else { continue };
        let node = node.clone();
        spawn_local(async move { ask_peer(&node, table, address).await });
    }
}

/// Follows what a hub tells of its copies: takes changes from it, and counts this node's copies as new as the hub's
/// where nothing changed. `asked` is when the hub was asked; what came unasked may have been under way for long.
pub fn follow_proofs(node: &SharedNode, address: SocketAddr, proofs: &[TableProof], asked: Option<Moment>) {
    let now = clock::now();
    for proof in proofs {
        let mut board = node.board.borrow_mut();
        if board.is_small_fleet() || board.is_hub(now) {
            continue;
        }
        let copy = board.copies.entry(proof.table).or_default();
        if proof.changed > copy.version() {
            drop(board);
            let (node, table) = (node.clone(), proof.table);
            if node.asking.borrow_mut().insert(table) {
                spawn_local(async move {
                    ask_peer(&node, table, address).await;
                    node.asking.borrow_mut().remove(&table);
                });
            }
        } else if let Some(asked) = asked {
            let proven = asked - Duration::from_millis(u64::from(proof.age_ms));
            if copy.confirm(proof.version, proof.changed, proven) {
                board.record_store_proof(proven, now);
            }
        }
    }
}

fn newer_peer(node: &SharedNode, table: SharedTable, now: Moment) -> Option<SocketAddr> {
    let board = node.board.borrow();
    let own = board.copies.get(&table).and_then(TableCopy::confirmed_at);
    let own_age = own.map_or(Duration::MAX, |asked| now.since(asked));
    if own_age < ASK_PEER_AFTER {
        return None;
    }
    let ages = board.members.alive(now).filter_map(|view| {
        let proof = view.heartbeat.proofs.iter().find(|proof| proof.table == table)?;
        let age = Duration::from_millis(u64::from(proof.age_ms)) + now.since(view.last_heartbeat_at);
        Some((age, view.heartbeat.peer_address))
    });
    let (age, address) = ages.min_by_key(|(age, _)| *age)?;
    (age + NEWER_BY < own_age).then_some(address)
}

async fn ask_peer(node: &SharedNode, table: SharedTable, address: SocketAddr) {
    let asked = clock::now();
    let have = node.board.borrow().copies.get(&table).map_or(0, TableCopy::version);
    let call = WireCall::Rows { table: table_number(table), have };
    match node.peers.call(address, &call, PEER_WITHIN).await {
        Ok(WireReply::Rows { rows, whole, version, age_ms }) => {
            // The peer's state was the newest that long before it was asked for it here.
            let asked = asked - Duration::from_millis(u64::from(age_ms));
            apply(node, table, &row_batch_from_wire(rows, version, whole), asked, "peer");
        }
        Ok(_) => {}
        Err(error) => {
            let (table, error) = (table.to_string(), error.to_string());
            info!("{STORE} a peer did not hand its copy over.", kv: { table = table.as_str(), error = error.as_str() });
        }
    }
}
