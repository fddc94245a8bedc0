//! Leases of controllers: held in the table service, renewed by their holder, taken over when they expire.
//!
//! A holder counts the lease from the time at which it sent the write, and stops acting a margin before the end. Other
//! nodes count from the time at which they first saw the current version of the row, and wait a margin longer than the
//! lease. The holder therefore always stops before a successor starts, without synchronised clocks, as long as clock
//! rates differ by less than the margins.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
use crate::message::NodeState;
use crate::names::NodeName;
use crate::store::{LeaseKind, LeaseRow, Row, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Number that grows with each new holder and that orders carry, so that targets can refuse those of earlier
    /// holders.
    pub fencing: u64,
    /// Time at which this node acquired the lease.
    pub acquired_at: Moment,
    /// Time from which this node must not act under the lease any more.
    pub expires_at: Moment,
}

/// Leases that this node holds, at most one of each kind.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// Leases that the table service confirmed last, which may have expired since.
    held: BTreeMap<LeaseKind, HeldLease>,
}

impl LeaseTable {
    /// Returns the lease of `kind` if this node may act under it at `now`.
    #[must_use]
    pub fn held(&self, kind: LeaseKind, now: Moment) -> Option<HeldLease> {
        self.held.get(&kind).copied().filter(|lease| now < lease.expires_at)
    }

    /// Stops this node from acting under a lease until the table service confirms the lease again.
    pub fn revoke(&mut self, kind: LeaseKind) {
        self.held.remove(&kind);
    }

    /// Returns whether this node may act under the lease of `kind` at `now`.
    #[must_use]
    pub fn holds(&self, kind: LeaseKind, now: Moment) -> bool {
        self.held(kind, now).is_some()
    }
}

/// Row of a lease as last seen in the table service.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: RowVersion,
    row: LeaseRow,
    /// Time at which this version of the row was first seen.
    first_seen_at: Moment,
}

/// The last write of a lease's row that this node sent.
#[derive(Clone, Copy, Debug)]
struct LeaseWrite {
    sent_at: Moment,
    fencing: u64,
    /// Renewal count in the row, different in each write of this instance, so that a row identifies its write.
    renewals: u64,
    /// Whether a row of this instance has been seen since the write was sent.
    is_resolved: bool,
}

/// Acquires, renews and releases leases.
#[derive(Debug, Default)]
pub struct LeaseController {
    /// Rows of leases as last seen; a lease without a row is missing.
    observed: BTreeMap<LeaseKind, ObservedLease>,
    last_writes: BTreeMap<LeaseKind, LeaseWrite>,
    /// Time at which each lease is next renewed or read; a missing one is due at once.
    next_check_at: BTreeMap<LeaseKind, Moment>,
}

impl LeaseController {
    const KINDS: [LeaseKind; 2] = [LeaseKind::Rollout, LeaseKind::Orders];
    /// Number of serving nodes, the first by name, that compete for leases. It is small so that not every node sends
    /// requests to the table service.
    const MAX_CANDIDATES: usize = 3;

    /// Returns the margin by which a holder stops early and other nodes wait longer.
    fn safety_margin(board: &Blackboard) -> Duration {
        board.tuning.lease_length / 10
    }

    /// Renews or reads each lease whose check is due, if this node competes for leases.
    fn handle_tick(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if !is_candidate(board) || !board.store.is_backoff_over(board.now) {
            return;
        }
        for kind in Self::KINDS {
            let is_due = self.next_check_at.get(&kind).is_none_or(|due| *due <= board.now);
            if is_due && !has_open_operation(board, kind) {
                self.next_check_at.insert(kind, board.now + board.tuning.lease_length / 4);
                self.renew_or_read(board, kind, out);
            }
        }
    }

    /// Renews the lease if this node holds it and knows the result of its last write, and reads the lease's row
    /// otherwise.
    fn renew_or_read(&mut self, board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
        let held = board.leases.holds(kind, board.now);
        let is_resolved = self.last_writes.get(&kind).is_some_and(|write| write.is_resolved);
        match self.observed.get(&kind).cloned() {
            Some(seen) if held && is_resolved => self.send_write(board, kind, Some(seen.version), seen.row, out),
            _ => send_read(board, kind, out),
        }
    }

    /// Sends a write of the lease's row with a renewal count that no earlier write of this instance had.
    fn send_write(
        &mut self,
        board: &mut Blackboard,
        kind: LeaseKind,
        expected: Option<RowVersion>,
        mut row: LeaseRow,
        out: &mut Vec<Action>,
    ) {
        let last_renewals = self.last_writes.get(&kind).map_or(0, |write| write.renewals);
        row.renewals = row.renewals.max(last_renewals) + 1;
        let write = LeaseWrite { sent_at: board.now, fencing: row.fencing, renewals: row.renewals, is_resolved: false };
        self.last_writes.insert(kind, write);
        let op = StoreOp::Write { key: RowKey::Lease(kind), expected, value: RowValue::Lease(row) };
        board.store.send(StorePurpose::WriteLease(kind), op, &mut board.counters, out);
    }

    /// Handles the row of a lease as read from or written to the table service.
    fn handle_row(&mut self, board: &mut Blackboard, kind: LeaseKind, row: Option<&Row>, out: &mut Vec<Action>) {
        let Some(row) = row else {
            self.observed.remove(&kind);
            return self.take_over_if_expired(board, kind, out);
        };
        let RowValue::Lease(current) = &row.value else { return };
        let is_known = self.observed.get(&kind).is_some_and(|observed| observed.version == row.version);
        if !is_known {
            let observed = ObservedLease { version: row.version, row: current.clone(), first_seen_at: board.now };
            self.observed.insert(kind, observed);
        }
        if is_own(board, current) {
            self.record_held(board, kind, current);
            self.reacquire(board, kind, row.version, current, out);
        } else {
            board.leases.held.remove(&kind);
            self.take_over_if_expired(board, kind, out);
        }
    }

    /// Records the lease as held, from the time at which the write that made the row was sent. The row must be of this
    /// instance.
    fn record_held(&mut self, board: &mut Blackboard, kind: LeaseKind, current: &LeaseRow) {
        let Some(write) = self.last_writes.get_mut(&kind) else { return };
        write.is_resolved = true;
        // Another write of this instance made the row, and the time at which that write was sent is not known.
        if write.fencing != current.fencing || write.renewals != current.renewals {
            return;
        }
        let expires_at = write.sent_at + board.tuning.lease_length.saturating_sub(Self::safety_margin(board));
        let acquired_at = board.leases.held.get(&kind).filter(|held| held.fencing == current.fencing);
        let acquired_at = acquired_at.map_or(board.now, |held| held.acquired_at);
        board.leases.held.insert(kind, HeldLease { fencing: current.fencing, acquired_at, expires_at });
    }

    /// Acquires the lease again, under a new fencing number, if the lease has expired. The row names this instance, so
    /// no other node has taken the lease.
    fn reacquire(
        &mut self,
        board: &mut Blackboard,
        kind: LeaseKind,
        version: RowVersion,
        current: &LeaseRow,
        out: &mut Vec<Action>,
    ) {
        let should_acquire = board.state == NodeState::Serving && !board.leases.holds(kind, board.now);
        if should_acquire && !has_open_operation(board, kind) {
            let row = LeaseRow { fencing: current.fencing + 1, ..current.clone() };
            self.send_write(board, kind, Some(version), row, out);
        }
    }

    /// Brings the next check of the lease forward to the time at which the lease may be taken over, if that is earlier.
    fn schedule_check_at_expiry(&mut self, board: &Blackboard, kind: LeaseKind) {
        let (Some(seen), Some(due)) = (self.observed.get(&kind), self.next_check_at.get_mut(&kind)) else { return };
        let takeover_at =
            seen.first_seen_at + board.tuning.lease_length + Self::safety_margin(board) + Duration::from_millis(1);
        *due = takeover_at.min(*due);
    }

    /// Writes this node into the lease's row as the owner if the lease is free or expired. Otherwise checks the lease
    /// again when it expires.
    fn take_over_if_expired(&mut self, board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
        if board.state != NodeState::Serving || has_open_operation(board, kind) {
            return;
        }
        let observed = self.observed.get(&kind);
        let is_expired = observed.is_none_or(|observed| {
            let is_free = observed.row.owner.as_str().is_empty();
            is_free || board.now.since(observed.first_seen_at) > board.tuning.lease_length + Self::safety_margin(board)
        });
        if !is_expired {
            return self.schedule_check_at_expiry(board, kind);
        }
        let row = LeaseRow {
            owner: board.identity.node.clone(),
            instance: board.identity.instance,
            fencing: observed.map_or(0, |observed| observed.row.fencing) + 1,
            renewals: 0,
        };
        let version = observed.map(|observed| observed.version);
        self.send_write(board, kind, version, row, out);
    }

    /// Handles the reply to a write of the lease's row. A successful write is handled like a read of the row written.
    fn handle_write_reply(
        &mut self,
        board: &mut Blackboard,
        kind: LeaseKind,
        reply: &StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Written(version) => {
                let Some(write) = self.last_writes.get(&kind) else { return };
                let row = LeaseRow {
                    owner: board.identity.node.clone(),
                    instance: board.identity.instance,
                    fencing: write.fencing,
                    renewals: write.renewals,
                };
                let row = Row { version: *version, value: RowValue::Lease(row) };
                self.handle_row(board, kind, Some(&row), out);
            }
            StoreReply::Conflict(row) => self.handle_row(board, kind, row.as_ref(), out),
            // The write may have taken effect. The next check, due now, reads the row to find out. If the write took
            // effect, the lease counts from the time at which the write was sent.
            StoreReply::Lost => self.next_check_at.insert(kind, board.now).map_or((), drop),
            StoreReply::Read(_) | StoreReply::NotSent => {}
        }
    }

    /// Releases the leases of a node that stops, so that successors need not wait until they expire.
    fn release_all(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        for kind in Self::KINDS {
            let held = board.leases.held(kind, board.now);
            board.leases.held.remove(&kind);
            let Some((observed, _)) = self.observed.get(&kind).cloned().zip(held) else { continue };
            let row = LeaseRow { owner: NodeName::new(""), ..observed.row };
            self.send_write(board, kind, Some(observed.version), row, out);
            // Replies to writes of this node, including this one, must not make it the holder again.
            self.last_writes.remove(&kind);
        }
    }
}

impl Controller for LeaseController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.handle_tick(board, out),
            Event::StopRequested => self.release_all(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match (purpose, reply) {
            (StorePurpose::ReadLease(kind), StoreReply::Read(row)) => self.handle_row(board, *kind, row.as_ref(), out),
            (StorePurpose::WriteLease(kind), reply) => self.handle_write_reply(board, *kind, reply, out),
            _ => {}
        }
    }
}

/// Returns whether `row` names this node and this instance as the owner.
fn is_own(board: &Blackboard, row: &LeaseRow) -> bool {
    row.owner == board.identity.node && row.instance == board.identity.instance
}

/// Returns whether a read or write of the lease's row is in flight.
fn has_open_operation(board: &Blackboard, kind: LeaseKind) -> bool {
    board.store.is_open(&StorePurpose::ReadLease(kind)) || board.store.is_open(&StorePurpose::WriteLease(kind))
}

fn send_read(board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
    let op = StoreOp::Read { key: RowKey::Lease(kind) };
    board.store.send(StorePurpose::ReadLease(kind), op, &mut board.counters, out);
}

/// Returns whether this node competes for leases: it is serving and among the first serving nodes by name.
fn is_candidate(board: &Blackboard) -> bool {
    let own = &board.identity.node;
    let preceding =
        board.members.serving().filter(|(node, _)| *node < own).take(LeaseController::MAX_CANDIDATES).count();
    board.state == NodeState::Serving && preceding < LeaseController::MAX_CANDIDATES
}
