//! Open operations at the table service, and whether it is worth asking.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use crate::action::Action;
use crate::clock::Moment;
use crate::counters::Counters;
use crate::names::{RequestKey, ServiceName, StoreTicket};
use crate::store::{LeaseKind, StoreOp, StoreReply};

/// What an operation was for, kept until its reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StorePurpose {
    /// Claim a request.
    Claim(RequestKey),
    /// Read a claim whose write's answer was lost, or that another node holds.
    ReadClaim(RequestKey),
    /// Record how a claimed request ended.
    Settle(RequestKey),
    /// Read the document.
    ReadDocument,
    /// Write a document for an operator.
    Promote,
    /// Read back a document whose write's answer was lost.
    ConfirmPromote,
    /// Read a seat.
    ReadSeat(u32),
    /// Write a seat.
    WriteSeat(u32),
    /// Read a lease.
    ReadLease(LeaseKind),
    /// Write a lease.
    WriteLease(LeaseKind),
    /// Read how far a candidate has come.
    ReadRollout(ServiceName),
    /// Write it.
    WriteRollout(ServiceName),
}

/// Open operations and the health of the table service.
#[derive(Clone, Debug, Default)]
pub struct StoreTable {
    last_ticket: u64,
    open: BTreeMap<StoreTicket, StorePurpose>,
    /// How many operations are open for each purpose.
    purposes: BTreeMap<StorePurpose, u32>,
    failures: u32,
    retry_at: Moment,
    last_answer: Moment,
}

impl StoreTable {
    const FIRST_BACK_OFF: Duration = Duration::from_millis(200);
    const LONGEST_BACK_OFF: Duration = Duration::from_secs(5);

    /// Sends an operation and remembers what it is for.
    pub fn send(&mut self, purpose: StorePurpose, op: StoreOp, counters: &mut Counters, out: &mut Vec<Action>) {
        self.last_ticket += 1;
        let ticket = StoreTicket(self.last_ticket);
        match op {
            StoreOp::Write { .. } => counters.store_writes += 1,
            StoreOp::Read { .. } => counters.store_reads += 1,
        }
        *self.purposes.entry(purpose.clone()).or_default() += 1;
        self.open.insert(ticket, purpose);
        out.push(Action::Store(ticket, Box::new(op)));
    }

    /// Takes the purpose of an operation that was replied to; none if it was replied to before.
    pub fn close(&mut self, ticket: StoreTicket) -> Option<StorePurpose> {
        let purpose = self.open.remove(&ticket)?;
        if let Entry::Occupied(mut count) = self.purposes.entry(purpose.clone()) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(purpose)
    }

    /// Whether an operation for `purpose` is open.
    #[must_use]
    pub fn is_open(&self, purpose: &StorePurpose) -> bool {
        self.purposes.contains_key(purpose)
    }

    /// Learns from a reply; `jitter` is 0 to 1.
    pub fn learn(&mut self, reply: &StoreReply, now: Moment, jitter: f64) {
        if !matches!(reply, StoreReply::Lost | StoreReply::NotSent) {
            self.failures = 0;
            self.last_answer = now;
            self.retry_at = now;
            return;
        }
        let doubled = Self::FIRST_BACK_OFF * 2_u32.pow(self.failures.min(8));
        let span = doubled.min(Self::LONGEST_BACK_OFF);
        self.failures += 1;
        self.retry_at = now + span.mul_f64(0.5 + jitter / 2.0);
    }

    /// Whether background work may ask the table service now.
    #[must_use]
    pub fn may_ask(&self, now: Moment) -> bool {
        now >= self.retry_at
    }

    /// Whether new promises may rest on the table service: its last answers were not failures.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.failures < 3
    }

    /// When the table service last answered.
    #[must_use]
    pub fn last_answer(&self) -> Moment {
        self.last_answer
    }
}
