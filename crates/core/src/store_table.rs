//! Open operations on the table service, its health, and the backoff after failures.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::action::Action;
use crate::clock::Moment;
use crate::counters::Counters;
use crate::names::{RequestKey, ServiceName, StoreTicket};
use crate::store::{LeaseKind, StoreOp, StoreReply};

/// Purpose of an operation, kept until the reply arrives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StorePurpose {
    /// Claims a request.
    Claim(RequestKey),
    /// Reads a claim after the reply to its write was lost, or because another node holds it.
    ReadClaim(RequestKey),
    /// Records the outcome of a claimed request.
    Settle(RequestKey),
    /// Reads the document.
    ReadDocument,
    /// Writes a document that an operator promotes.
    Promote,
    /// Reads the document back after the reply to its write was lost.
    ConfirmPromote,
    /// Reads a seat.
    ReadSeat(u32),
    /// Writes a seat.
    WriteSeat(u32),
    /// Reads a lease.
    ReadLease(LeaseKind),
    /// Writes a lease.
    WriteLease(LeaseKind),
    /// Reads the rollout of a service.
    ReadRollout(ServiceName),
    /// Writes the rollout of a service.
    WriteRollout(ServiceName),
}

/// Open operations on the table service, and its health.
#[derive(Clone, Debug, Default)]
pub struct StoreTable {
    /// Number of operations sent, which is the ticket of the last one.
    last_ticket: u64,
    /// Purpose of each open operation.
    open_purposes: BTreeMap<StoreTicket, StorePurpose>,
    /// Number of open operations for each purpose.
    open_counts: BTreeMap<StorePurpose, u32>,
    /// Number of consecutive operations that were lost or not sent.
    consecutive_failures: u32,
    /// Time from which background operations may be sent again.
    retry_at: Moment,
    /// Time of the last reply, or the start of this node's clock before the first.
    last_reply_at: Moment,
}

impl StoreTable {
    /// Backoff after the first failure, before jitter; it doubles with each further failure.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
    /// Upper bound of the backoff.
    const MAX_BACKOFF: Duration = Duration::from_secs(5);

    /// Sends an operation, counts it, and records its purpose under a new ticket.
    pub fn send(&mut self, purpose: StorePurpose, op: StoreOp, counters: &mut Counters, out: &mut Vec<Action>) {
        self.last_ticket += 1;
        let ticket = StoreTicket(self.last_ticket);
        match op {
            StoreOp::Write { .. } => counters.store_writes += 1,
            StoreOp::Read { .. } => counters.store_reads += 1,
        }
        *self.open_counts.entry(purpose.clone()).or_default() += 1;
        self.open_purposes.insert(ticket, purpose);
        out.push(Action::Store(ticket, Box::new(op)));
    }

    /// Removes an operation after its reply or failure and returns its purpose, or `None` if it is not open.
    pub fn complete(&mut self, ticket: StoreTicket) -> Option<StorePurpose> {
        let purpose = self.open_purposes.remove(&ticket)?;
        if let Entry::Occupied(mut count) = self.open_counts.entry(purpose.clone()) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(purpose)
    }

    /// Returns whether an operation for `purpose` is open.
    #[must_use]
    pub fn is_open(&self, purpose: &StorePurpose) -> bool {
        self.open_counts.contains_key(purpose)
    }

    /// Updates health and backoff after a reply. A lost or unsent operation starts a backoff, and any other reply ends
    /// it. `jitter`, from 0 to 1, scales the backoff from half to all of its length.
    pub fn record_reply(&mut self, reply: &StoreReply, now: Moment, jitter: f64) {
        if !matches!(reply, StoreReply::Lost | StoreReply::NotSent) {
            self.consecutive_failures = 0;
            self.last_reply_at = now;
            self.retry_at = now;
            return;
        }
        let uncapped_backoff = Self::INITIAL_BACKOFF * 2_u32.pow(self.consecutive_failures.min(8));
        let backoff = uncapped_backoff.min(Self::MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.retry_at = now + backoff.mul_f64(0.5 + jitter / 2.0);
    }

    /// Returns whether background work may use the table service at `now`, because no backoff is in force.
    #[must_use]
    pub fn is_backoff_over(&self, now: Moment) -> bool {
        now >= self.retry_at
    }

    /// Returns whether new work may depend on the table service: fewer than three operations in a row failed.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.consecutive_failures < 3
    }

    /// Returns the time of the last reply of the table service, or the start of this node's clock before the first.
    #[must_use]
    pub fn last_reply_at(&self) -> Moment {
        self.last_reply_at
    }
}
