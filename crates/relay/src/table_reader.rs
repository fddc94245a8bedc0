//! Reads the tables of the store, with attempts beside those that have no answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::read_attempts::ReadAttempts;
use wasabipier_core::relay::rows::{BatchFit, RowBatch, TableCopy, TableId, proven_at};
use wasabipier_core::relay::store_version::StoreVersion;

use crate::clock;
use crate::http_link::LinkError;
use crate::log_prefixes::STORE;
use crate::ports::{RowPage, StoreFault};
use crate::state::SharedNode;
use crate::store;
use crate::store_link::{StoreError, StoreLink};

/// Interval at which a node that does not read the store checks whether it has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Divisor of `max_hub_copy_age`, the age of the hub's copy from which on its followers read the store themselves. The
/// store may hold a hub's call for at most this fraction of that age, so that the copy is confirmed in time.
const HUB_WAIT_DIVISOR: u32 = 2;
/// Multiple of the usual backoff for nodes that follow a hub. They can wait longer, since the hub notifies them when the
/// store is reachable again.
const FOLLOWER_BACKOFF_FACTOR: u32 = 3;

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
            reader.suspend();
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

    /// Gives up the open reads, since this node relies on a hub's copy.
    fn suspend(&mut self) {
        if !self.reads.is_empty() {
            self.reads = JoinSet::new();
            self.attempts = ReadAttempts::new(self.node.times.store_answer_timeout);
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
            self.record_failed_call(self.last_called_at, &StoreError::Link(LinkError::Timeout));
        }
        let wait = if self.needs_whole_table {
            Duration::ZERO
        } else {
            self.attempts.next_wait(change_wait(&self.node, self.table))
        };
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
        store::apply_rows(&self.node, self.table, &read.batch, confirmed_at, "store");
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
            // The store was restored between two pages, so that they belong to different states.
            Some(all) if all.version.era != batch.version.era => return Err(StoreFault::HistoryGone.into()),
            // Changes made between two pages are read afterwards, from the version of the first page on.
            Some(all) => all.rows.extend(batch.rows),
            None => all = Some(batch),
        }
        match next {
            // A page that begins again would be read without end.
            Some(key) if after.as_ref().is_some_and(|after| key <= *after) => return Err(StoreFault::Malformed.into()),
            Some(key) => after = Some(key),
            None => return Ok(all.unwrap_or_default()),
        }
    }
}

/// Returns the time for which the store may hold a call for changes. It is shorter in a large fleet, where other nodes
/// depend on a hub's copies, which are as old as its last call. A call that may prove what was read at the start ends as soon as it does.
fn change_wait(node: &SharedNode, table: TableId) -> Duration {
    let board = node.board.borrow();
    let hub_wait = board.tuning.max_hub_copy_age / HUB_WAIT_DIVISOR;
    let wait =
        if board.is_small_fleet() { node.times.store_poll_wait } else { node.times.store_poll_wait.min(hub_wait) };
    board.proof_wait(table, clock::now()).map_or(wait, |proof_wait| proof_wait.min(wait))
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
