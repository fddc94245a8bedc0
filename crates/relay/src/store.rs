//! Keeps the copies of the store's tables up to date from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::answer_timeout::AnswerTimeout;
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableCopy, TableId, proven_at};

use crate::clock;
use crate::heartbeats;
use crate::log_prefixes::STORE;
use crate::metering;
use crate::ports::{RowPage, StoreFault};
use crate::sockets;
use crate::state::{RelayNode, SharedNode};

/// Backoff after a failed call. It is doubled with each further failure, up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Minimum interval between the starts of two calls for changes. Many targets that start at the same time are read in
/// one call.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node that does not read the store checks whether it has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Divisor of `max_hub_copy_age`, the age of the hub's copy from which on its followers read the store themselves. The
/// store may hold a hub's call for at most this fraction of that age, so that the copy is confirmed in time.
const HUB_WAIT_DIVISOR: u32 = 2;
/// Multiple of `MAX_BACKOFF` that limits the backoff of nodes that follow a hub. They can wait longer, since the hub
/// notifies them when the store is reachable again.
const FOLLOWER_BACKOFF_FACTOR: u32 = 3;
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum pause between two parts of an answer. A link that is slow for the size of a table still delivers some.
const ANSWER_PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which an answer that has begun may arrive.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(30);
/// Maximum size of an answer in bytes. All changes of a table come in one: 10,000 targets at some 400 bytes take 4 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reasons why a call to the store returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed during the call.
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The body of the answer broke off or is longer than `MAX_ANSWER_BYTES`.
    #[error("answer incomplete: {0}")]
    Body(String),
    /// The answer did not arrive in time.
    #[error("timed out waiting for the answer")]
    Timeout,
    /// The store answered with an error, or the answer cannot be decoded.
    #[error("{0}")]
    Fault(#[from] StoreFault),
}

/// A connection to the store, reopened when needed.
pub struct StoreLink {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    answer_timeout: AnswerTimeout,
}

impl StoreLink {
    /// Creates a link to the store of `node` that connects on first use.
    #[must_use]
    pub fn new(node: &RelayNode) -> Self {
        let answer_timeout = AnswerTimeout::new(node.times.store_answer_timeout);
        Self { address: node.addresses.store, sender: None, answer_timeout }
    }

    /// Sends a request that the store may hold for `wait`, and returns the status and body of the answer. An answer that
    /// has begun in time may go on for as long as some of it arrives. After a failure the connection is discarded, since
    /// data that still arrives on it may belong to the failed call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. The store may have carried out a write.
    pub async fn call(&mut self, request: Request<Bytes>, wait: Duration) -> Result<(StatusCode, Bytes), StoreError> {
        let answer = self.exchange(request, wait).await;
        metering::record_store_call(if answer.is_ok() { "answered" } else { "failed" });
        answer
    }

    async fn exchange(&mut self, request: Request<Bytes>, wait: Duration) -> Result<(StatusCode, Bytes), StoreError> {
        let called_at = clock::now();
        let begin_answer = begin_answer(self.address, self.sender.take(), request);
        let Ok(begun) = timeout(wait + self.answer_timeout.current(), begin_answer).await else {
            self.answer_timeout.record_timeout();
            return Err(StoreError::Timeout);
        };
        let (sender, response) = begun?;
        self.answer_timeout.record_answer(clock::now().since(called_at).saturating_sub(wait));
        let status = response.status();
        let body = timeout(MAX_ANSWER_TIME, collect_body(response.into_body())).await;
        let body = body.unwrap_or(Err(StoreError::Timeout))?;
        self.sender = Some(sender);
        Ok((status, body))
    }
}

async fn begin_answer(
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    request: Request<Bytes>,
) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), StoreError> {
    let mut sender = match sender.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    let response = sender.send_request(request.map(Full::new)).await?;
    Ok((sender, response))
}

/// Reads a body whose parts arrive within `ANSWER_PAUSE_TIMEOUT` of each other.
async fn collect_body(body: Incoming) -> Result<Bytes, StoreError> {
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(ANSWER_PAUSE_TIMEOUT, body.frame()).await.map_err(|_| StoreError::Timeout)? {
        let frame = frame.map_err(|error| StoreError::Body(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let stream = sockets::connect(address, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // Errors are reported by the call that uses the connection.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Calls without a usable answer since the last answered one, for the log.
struct StoreOutage {
    /// When the first of the calls began.
    began_at: Moment,
    failed_calls: u32,
    /// Time from the beginning of the last of the calls until it was given up.
    last_call_time: Duration,
}

impl StoreOutage {
    fn new(began_at: Moment) -> Self {
        Self { began_at, failed_calls: 0, last_call_time: Duration::ZERO }
    }

    fn record_failed_call(&mut self, called_at: Moment, now: Moment) {
        self.failed_calls += 1;
        self.last_call_time = now.since(called_at);
    }
}

/// Logs that the store answers after `outage`, to a call made at `called_at`.
fn log_store_return(table: TableId, outage: &StoreOutage, called_at: Moment) {
    let (table, now) = (table.to_string(), clock::now());
    let (table, failed_calls) = (table.as_str(), outage.failed_calls);
    let last_call_ms = outage.last_call_time.as_millis() as u64;
    let (answered_ms, outage_ms) =
        (now.since(called_at).as_millis() as u64, now.since(outage.began_at).as_millis() as u64);
    info!("{STORE} the store answers again.", kv: { table, failed_calls, last_call_ms, answered_ms, outage_ms });
}

/// Keeps the copy of one table up to date from the store until the node ends. Does nothing while this node relies on a
/// hub's copy.
pub async fn follow_table(node: SharedNode, table: TableId) {
    let mut link = StoreLink::new(&node);
    let mut needs_whole_table = true;
    let mut backoff = MIN_BACKOFF;
    let mut outage: Option<StoreOutage> = None;
    loop {
        if !node.board.borrow().reads_store(table, clock::now()) {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let called_at = clock::now();
        let wait = if needs_whole_table { Duration::ZERO } else { change_wait(&node) };
        let read = if needs_whole_table {
            read_whole(&node, &mut link, table).await
        } else {
            read_changes(&node, &mut link, table, wait).await
        };
        match read {
            Ok(batch) => {
                let confirmed_at = proven_at(&batch, called_at, wait, clock::now());
                if let Some(outage) = outage.take() {
                    log_store_return(table, &outage, called_at);
                }
                node.board.borrow_mut().record_store_answer(clock::now());
                apply_rows(&node, table, &batch, confirmed_at, "store");
                (needs_whole_table, backoff) = (false, MIN_BACKOFF);
                // Changes that occur close together are read in one call.
                sleep(MIN_CALL_INTERVAL.saturating_sub(clock::now().since(called_at))).await;
            }
            Err(StoreError::Fault(StoreFault::HistoryGone)) => {
                info!("{STORE} change history is no longer available; reading the whole table.", kv: { table = table.to_string().as_str() });
                needs_whole_table = true;
            }
            Err(error) => {
                let outage = outage.get_or_insert_with(|| StoreOutage::new(called_at));
                outage.record_failed_call(called_at, clock::now());
                if outage.failed_calls == 1 {
                    let (table, error) = (table.to_string(), error.to_string());
                    let after_ms = outage.last_call_time.as_millis() as u64;
                    warn!("{STORE} the store does not answer.", kv: { table = table.as_str(), error = error.as_str(), after_ms });
                }
                node.board.borrow_mut().record_store_unreachable();
                sleep(backoff.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
                let has_hub = !node.board.borrow().is_store_reader(clock::now());
                backoff = (backoff * 2).min(if has_hub { MAX_BACKOFF * FOLLOWER_BACKOFF_FACTOR } else { MAX_BACKOFF });
            }
        }
    }
}

/// Reads all pages of a table.
async fn read_whole(node: &SharedNode, link: &mut StoreLink, table: TableId) -> Result<RowBatch, StoreError> {
    let mut all: Option<RowBatch> = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let request = node.platform.rows_request(table, after.as_deref());
        let (status, body) = link.call(request, Duration::ZERO).await?;
        let RowPage { batch, next } = node.platform.read_rows(status, &body, true)?;
        match &mut all {
            // Changes made between two pages are read afterwards, from the version of the first page on.
            Some(all) => all.rows.extend(batch.rows),
            None => all = Some(batch),
        }
        match next {
            Some(key) => after = Some(key),
            None => return Ok(all.unwrap_or_default()),
        }
    }
}

/// Returns the time for which the store may hold a call for changes. It is shorter in a large fleet, where other nodes
/// depend on a hub's copies, which are as old as its last call.
fn change_wait(node: &SharedNode) -> Duration {
    let board = node.board.borrow();
    let hub_wait = board.tuning.max_hub_copy_age / HUB_WAIT_DIVISOR;
    if board.is_small_fleet() { node.times.store_poll_wait } else { node.times.store_poll_wait.min(hub_wait) }
}

/// Reads the changes of a table since the version of this node's copy.
async fn read_changes(
    node: &SharedNode,
    link: &mut StoreLink,
    table: TableId,
    wait: Duration,
) -> Result<RowBatch, StoreError> {
    let after = node.board.borrow().copies.get(&table).map_or(0, TableCopy::version);
    let request = node.platform.changes_request(table, after, wait);
    let (status, body) = link.call(request, wait).await?;
    Ok(node.platform.read_rows(status, &body, false)?.batch)
}

/// Applies rows to the copy of a table, and the changed rows to the board. `confirmed_at` is the latest time at which
/// the rows are known to have been the current state of the store; `source` is logged.
pub fn apply_rows(node: &SharedNode, table: TableId, batch: &RowBatch, confirmed_at: Moment, source: &str) {
    let changed = node.board.borrow_mut().copies.entry(table).or_default().apply(batch, confirmed_at);
    for row in &changed {
        match table {
            TableId::Orders => apply_order(node, row, source),
            TableId::Targets => apply_target(node, row, source),
        }
    }
    if !changed.is_empty() {
        node.piece_waiters.wake_queues();
        heartbeats::notify_followers(node);
    }
    let mut board = node.board.borrow_mut();
    let is_complete =
        board.index.version > 0 && board.copies.get(&TableId::Targets).is_some_and(|copy| copy.version() > 0);
    if board.state == NodeState::Starting && is_complete {
        board.state = NodeState::Serving;
        drop(board);
        info!("{STORE} document and targets loaded; serving.", kv: { source });
        node.heartbeat_now.notify_one();
    }
}

fn apply_order(node: &SharedNode, row: &SharedRow, source: &str) {
    let (key, version) = (&*row.key, row.version);
    let bytes = row.value.as_ref().map_or(0, |value| value.len());
    match node.platform.read_order(row) {
        Ok(Some(change)) => {
            let what = match &change {
                OrderChange::Document(index) => format!("document {}", index.version),
                OrderChange::Close(dc) => format!("{dc} gets no new work"),
                OrderChange::Open(dc) => format!("{dc} takes work again"),
                OrderChange::Rollout(order) => {
                    format!("{} moves to {} within {:?}", order.service, order.candidate, order.duration)
                }
                OrderChange::RolloutWithdrawn(service) => format!("{service} is not moved any more"),
            };
            let changed = node.board.borrow_mut().apply_order(change, clock::now());
            info!("{STORE} order read.", kv: { key, version, source, bytes, what = what.as_str(), changed });
        }
        Ok(None) => info!("{STORE} order does not concern this node.", kv: { key, version, source }),
        Err(fault) => {
            warn!("{STORE} order could not be decoded; the previous one stays in force.", kv: { key, version, source, fault = fault.as_str() });
        }
    }
}

fn apply_target(node: &SharedNode, row: &SharedRow, source: &str) {
    let now = clock::now();
    let (key, version) = (&*row.key, row.version);
    if row.value.is_none() {
        let target = node.platform.target_name(row);
        node.board.borrow_mut().handle_target_removed(&target, now);
        info!("{STORE} target entry removed.", kv: { target = key, version, source });
        return;
    }
    match node.platform.read_target(row) {
        Ok(entry) => {
            let (leaving, cold_ms) = (entry.leaving, entry.cold_time.as_millis() as u64);
            let service = entry.service.to_string();
            node.board.borrow_mut().upsert_target(entry, now);
            info!("{STORE} target entry updated.", kv: { target = key, version, source, service = service.as_str(), leaving, cold_ms });
        }
        Err(fault) => {
            let target = node.platform.target_name(row);
            node.board.borrow_mut().handle_target_removed(&target, now);
            warn!("{STORE} target entry could not be decoded; the target gets no work.", kv: { target = key, version, source, fault = fault.as_str() });
        }
    }
}
