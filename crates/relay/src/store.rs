//! Keeps the copies of the store's tables up to date from the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use spdlog::{info, warn};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::answer_timeout::AnswerTimeout;
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::read_attempts::ReadAttempts;
use wasabipier_core::relay::rows::{BatchFit, RowBatch, SharedRow, TableCopy, TableId, proven_at};
use wasabipier_core::relay::store_restoration::ReplacedCopy;
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::targets::EntryEffect;

use crate::clock;
use crate::heartbeats;
use crate::log_prefixes::STORE;
use crate::metering;
use crate::ports::{RowPage, StoreFault};
use crate::sockets;
use crate::state::{RelayNode, SharedNode};

/// Interval at which a node that does not read the store checks whether it has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Divisor of `max_hub_copy_age`, the age of the hub's copy from which on its followers read the store themselves. The
/// store may hold a hub's call for at most this fraction of that age, so that the copy is confirmed in time.
const HUB_WAIT_DIVISOR: u32 = 2;
/// Multiple of the usual backoff for nodes that follow a hub. They can wait longer, since the hub notifies them when the
/// store is reachable again.
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
    /// When a part of an answer last arrived on this link or another one that shares the time.
    last_arrival_at: Rc<Cell<Moment>>,
}

impl StoreLink {
    /// Creates a link to the store of `node` that connects on first use.
    #[must_use]
    pub fn new(node: &RelayNode) -> Self {
        Self::with_arrival_time(node, Rc::default())
    }

    /// Does the same as [`Self::new`], with a time of the last arrival that several links share.
    fn with_arrival_time(node: &RelayNode, last_arrival_at: Rc<Cell<Moment>>) -> Self {
        let answer_timeout = AnswerTimeout::new(node.times.store_answer_timeout);
        Self { address: node.addresses.store, sender: None, answer_timeout, last_arrival_at }
    }

    /// Sends a request, and returns the answer with its body. An answer that has begun in time may go on for as
    /// long as some of it arrives. After a failure the connection is discarded, since
    /// data that still arrives on it may belong to the failed call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. The store may have carried out a write.
    pub async fn call(&mut self, request: Request<Bytes>) -> Result<Response<Bytes>, StoreError> {
        let called_at = clock::now();
        let answer = self.call_within(request, self.answer_timeout.current()).await;
        match &answer {
            Err(StoreError::Timeout) => self.answer_timeout.record_timeout(),
            Err(_) => {}
            Ok(_) => self.answer_timeout.record_answer(clock::now().since(called_at)),
        }
        answer
    }

    /// Does the same as [`Self::call`] for a request whose answer must begin within `answer_timeout`.
    async fn call_within(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let answer = self.exchange(request, answer_timeout).await;
        metering::record_store_call(if answer.is_ok() { "answered" } else { "failed" });
        answer
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let begin_answer = begin_answer(self.address, self.sender.take(), request);
        let (sender, response) = timeout(answer_timeout, begin_answer).await.map_err(|_| StoreError::Timeout)??;
        self.last_arrival_at.set(clock::now());
        let (head, body) = response.into_parts();
        let body = timeout(MAX_ANSWER_TIME, collect_body(body, &self.last_arrival_at)).await;
        let body = body.unwrap_or(Err(StoreError::Timeout))?;
        self.sender = Some(sender);
        Ok(Response::from_parts(head, body))
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

/// Reads a body whose parts arrive within `ANSWER_PAUSE_TIMEOUT` of each other, and sets the time of the last arrival.
async fn collect_body(body: Incoming, last_arrival_at: &Cell<Moment>) -> Result<Bytes, StoreError> {
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(ANSWER_PAUSE_TIMEOUT, body.frame()).await.map_err(|_| StoreError::Timeout)? {
        let frame = frame.map_err(|error| StoreError::Body(error.to_string()))?;
        last_arrival_at.set(clock::now());
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
    /// Time from the beginning of the last of the calls until it failed or was repeated.
    last_call_time: Duration,
}

/// A read of a table that the store answered.
struct TableRead {
    batch: RowBatch,
    called_at: Moment,
    /// Time for which the store was asked to hold the call.
    wait: Duration,
    /// The connection, for the next call.
    link: StoreLink,
}

/// A read of a table that failed.
struct FailedRead {
    error: StoreError,
    called_at: Moment,
}

/// Reads one table from the store.
struct TableReader {
    node: SharedNode,
    table: TableId,
    attempts: ReadAttempts,
    /// Reads that have neither been answered nor failed.
    reads: JoinSet<Result<TableRead, FailedRead>>,
    last_called_at: Moment,
    last_arrival_at: Rc<Cell<Moment>>,
    /// Connection of the last answer.
    idle_link: Option<StoreLink>,
    needs_whole_table: bool,
    outage: Option<StoreOutage>,
}

/// Keeps the copy of one table up to date from the store until the node ends. Does nothing while this node relies on a
/// hub's copy.
pub async fn follow_table(node: SharedNode, table: TableId) {
    let mut reader = TableReader::new(node.clone(), table);
    loop {
        if !node.board.borrow().reads_store(table, clock::now()) {
            reader.reads = JoinSet::new();
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        reader.attempts.record_arrival(reader.last_arrival_at.get());
        let pause = reader.attempts.next_start().since(clock::now());
        tokio::select! {
            Some(Ok(read)) = reader.reads.join_next() => match read {
                Ok(read) => reader.handle_answer(read),
                Err(failed) => reader.handle_failure(&failed),
            },
            () = sleep(pause) => reader.start_read(),
        }
    }
}

impl TableReader {
    fn new(node: SharedNode, table: TableId) -> Self {
        Self {
            attempts: ReadAttempts::new(node.times.store_answer_timeout),
            node,
            table,
            reads: JoinSet::new(),
            last_called_at: Moment::default(),
            last_arrival_at: Rc::default(),
            idle_link: None,
            needs_whole_table: true,
            outage: None,
        }
    }

    /// Starts a read, beside those that are open, unless an answer is arriving.
    fn start_read(&mut self) {
        let now = clock::now();
        self.attempts.record_arrival(self.last_arrival_at.get());
        if self.attempts.next_start() > now {
            return;
        }
        if self.attempts.is_overdue(now) {
            self.record_failed_call(self.last_called_at, &StoreError::Timeout);
        }
        let wait =
            if self.needs_whole_table { Duration::ZERO } else { self.attempts.next_wait(change_wait(&self.node)) };
        let mode = if self.needs_whole_table { ReadMode::Whole } else { ReadMode::Changes { wait } };
        let answer_timeout = self.attempts.record_start(wait, now);
        self.last_called_at = now;
        let new_link = || StoreLink::with_arrival_time(&self.node, self.last_arrival_at.clone());
        let link = self.idle_link.take().unwrap_or_else(new_link);
        self.reads.spawn_local(read_table(self.node.clone(), link, self.table, mode, answer_timeout));
    }

    fn handle_answer(&mut self, read: TableRead) {
        // Reads that are still open were lost, or their answers are older.
        self.reads = JoinSet::new();
        self.attempts.record_answer();
        self.idle_link = Some(read.link);
        let fit = self.node.board.borrow().copies.get(&self.table).map(|copy| copy.fit(&read.batch));
        self.needs_whole_table = fit == Some(BatchFit::NeedsWholeTable);
        let confirmed_at = proven_at(&read.batch, read.called_at, read.wait, clock::now());
        if let Some(outage) = self.outage.take() {
            log_store_return(self.table, &outage, read.called_at);
        }
        self.node.board.borrow_mut().record_store_answer(clock::now());
        apply_rows(&self.node, self.table, &read.batch, confirmed_at, "store");
    }

    fn handle_failure(&mut self, failed: &FailedRead) {
        if matches!(failed.error, StoreError::Fault(StoreFault::HistoryGone)) {
            info!("{STORE} change history is no longer available; reading the whole table.", kv: { table = self.table.to_string().as_str() });
            self.reads = JoinSet::new();
            self.attempts.record_answer();
            self.needs_whole_table = true;
            return;
        }
        // A read that was repeated has been recorded when its answer was overdue.
        if failed.called_at == self.last_called_at {
            self.record_failed_call(failed.called_at, &failed.error);
        }
        let has_hub = !self.node.board.borrow().is_store_reader(clock::now());
        self.attempts.record_failure(if has_hub { FOLLOWER_BACKOFF_FACTOR } else { 1 }, fastrand::f64());
    }

    /// Records a call that began at `called_at` and failed, or whose answer is overdue.
    fn record_failed_call(&mut self, called_at: Moment, error: &StoreError) {
        let last_call_time = clock::now().since(called_at);
        let first = StoreOutage { began_at: called_at, failed_calls: 0, last_call_time };
        let outage = self.outage.get_or_insert(first);
        outage.failed_calls += 1;
        outage.last_call_time = last_call_time;
        if outage.failed_calls == 1 {
            let (table, error) = (self.table.to_string(), error.to_string());
            let after_ms = last_call_time.as_millis() as u64;
            warn!("{STORE} the store does not answer.", kv: { table = table.as_str(), error = error.as_str(), after_ms });
        }
        if self.table == TableId::Targets {
            self.node.board.borrow_mut().record_store_unreachable();
        }
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

/// What is read of a table.
#[derive(Clone, Copy, Debug)]
enum ReadMode {
    /// All rows.
    Whole,
    /// The changes since the version of this node's copy. The store may hold the call for `wait`.
    Changes { wait: Duration },
}

/// Reads a table. Each answer must begin within `answer_timeout`.
async fn read_table(
    node: SharedNode,
    mut link: StoreLink,
    table: TableId,
    mode: ReadMode,
    answer_timeout: Duration,
) -> Result<TableRead, FailedRead> {
    let called_at = clock::now();
    let (read, wait) = match mode {
        ReadMode::Whole => (read_whole(&node, &mut link, table, answer_timeout).await, Duration::ZERO),
        ReadMode::Changes { wait } => (read_changes(&node, &mut link, table, wait, answer_timeout).await, wait),
    };
    match read {
        Ok(batch) => Ok(TableRead { batch, called_at, wait, link }),
        Err(error) => Err(FailedRead { error, called_at }),
    }
}

/// Reads all pages of a table.
async fn read_whole(
    node: &SharedNode,
    link: &mut StoreLink,
    table: TableId,
    answer_timeout: Duration,
) -> Result<RowBatch, StoreError> {
    let mut all: Option<RowBatch> = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let request = node.platform.rows_request(table, after.as_deref());
        let response = link.call_within(request, answer_timeout).await?;
        let RowPage { batch, next } = node.platform.read_rows(&response, true)?;
        match &mut all {
            // The store came back older between two pages, so that they belong to different states.
            Some(all) if all.version.era != batch.version.era => return Err(StoreFault::HistoryGone.into()),
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
    answer_timeout: Duration,
) -> Result<RowBatch, StoreError> {
    let after = node.board.borrow().copies.get(&table).map_or(StoreVersion::NONE, TableCopy::version);
    let request = node.platform.changes_request(table, after, wait);
    let response = link.call_within(request, answer_timeout).await?;
    Ok(node.platform.read_rows(&response, false)?.batch)
}

/// Applies rows to the copy of a table, and the changed rows to the board. `confirmed_at` is the latest time at which
/// the rows are known to have been the current state of the store; `source` is logged.
pub fn apply_rows(node: &SharedNode, table: TableId, batch: &RowBatch, confirmed_at: Moment, source: &str) {
    let applied = node.board.borrow_mut().apply_batch(table, batch, confirmed_at, clock::now());
    if let Some(replaced) = &applied.restored_from {
        log_restoration(table, replaced.version, batch.version, source);
        metering::record_store_restoration(&table.to_string());
        node.store_restored.notify_one();
    }
    for row in &applied.changed {
        match table {
            TableId::Orders => apply_order(node, row, applied.restored_from.as_ref(), source),
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
    warn!("{STORE} the store came back older.", kv: { table, from, version, source });
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

/// Applies an order. `replaced` is the copy before, if the row was read with the state that the store came back with.
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
            warn!("{STORE} order could not be decoded; the previous one stays in force.", kv: { key, version, source, fault = fault.as_str() });
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
