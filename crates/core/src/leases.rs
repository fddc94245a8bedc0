//! Leases of controllers: held in the table service, renewed by their holder, taken over when they lapse.
//!
//! A holder counts its lease from the moment at which it sent the write, and stops a margin before
//! the end. Others count from the moment at which they first saw the row as it stands, and wait a
//! margin more. So the holder always stops first, without a common clock, as long as clocks run at
//! rates that differ by less than the margins.

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
    /// Number that orders carry; it grows with each new holder.
    pub fencing: u64,
    /// When this node took it over.
    pub since: Moment,
    /// Until when it may act.
    pub until: Moment,
}

/// Leases that this node holds, by kind.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    held: BTreeMap<LeaseKind, HeldLease>,
}

impl LeaseTable {
    /// The lease of `kind`, if this node may act under it at `now`.
    #[must_use]
    pub fn held(&self, kind: LeaseKind, now: Moment) -> Option<HeldLease> {
        self.held.get(&kind).copied().filter(|lease| now < lease.until)
    }

    /// Gives a lease up at once, until the table service confirms it again.
    pub fn drop_lease(&mut self, kind: LeaseKind) {
        self.held.remove(&kind);
    }

    /// Whether this node may act under the lease of `kind` at `now`.
    #[must_use]
    pub fn holds(&self, kind: LeaseKind, now: Moment) -> bool {
        self.held(kind, now).is_some()
    }
}

/// A lease as last seen in the table service.
#[derive(Clone, Debug)]
struct SeenLease {
    version: RowVersion,
    row: LeaseRow,
    /// When this version was first seen.
    since: Moment,
}

/// A write of a lease that was sent.
#[derive(Clone, Copy, Debug)]
struct SentWrite {
    sent: Moment,
    fencing: u64,
    /// Unlike that of any other write of this instance, so that a row tells which write made it.
    renewals: u64,
    settled: bool,
}

/// Takes, renews and gives up leases.
#[derive(Debug, Default)]
pub struct LeaseController {
    seen: BTreeMap<LeaseKind, SeenLease>,
    sent: BTreeMap<LeaseKind, SentWrite>,
    look_at: BTreeMap<LeaseKind, Moment>,
}

impl LeaseController {
    const KINDS: [LeaseKind; 2] = [LeaseKind::Rollout, LeaseKind::Orders];
    /// Nodes, first by name, that try for a lease: a few, so that the table service is not asked by all.
    const CANDIDATES: usize = 3;

    /// Margin by which a holder stops early and others wait longer.
    fn margin(board: &Blackboard) -> Duration {
        board.tuning.lease_length / 10
    }

    fn on_tick(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if !is_candidate(board) || !board.store.may_ask(board.now) {
            return;
        }
        for kind in Self::KINDS {
            let due = self.look_at.get(&kind).is_none_or(|due| *due <= board.now);
            if due && !is_busy(board, kind) {
                self.look_at.insert(kind, board.now + board.tuning.lease_length / 4);
                self.step(board, kind, out);
            }
        }
    }

    /// Renews the lease if it is held, looks at it otherwise.
    fn step(&mut self, board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
        let held = board.leases.holds(kind, board.now);
        let settled = self.sent.get(&kind).is_some_and(|sent| sent.settled);
        match self.seen.get(&kind).cloned() {
            Some(seen) if held && settled => self.write(board, kind, Some(seen.version), seen.row, out),
            _ => read(board, kind, out),
        }
    }

    fn write(
        &mut self,
        board: &mut Blackboard,
        kind: LeaseKind,
        expected: Option<RowVersion>,
        mut row: LeaseRow,
        out: &mut Vec<Action>,
    ) {
        let last = self.sent.get(&kind).map_or(0, |sent| sent.renewals);
        row.renewals = row.renewals.max(last) + 1;
        let sent = SentWrite { sent: board.now, fencing: row.fencing, renewals: row.renewals, settled: false };
        self.sent.insert(kind, sent);
        let op = StoreOp::Write { key: RowKey::Lease(kind), expected, value: RowValue::Lease(row) };
        board.store.send(StorePurpose::WriteLease(kind), op, &mut board.counters, out);
    }

    fn on_row(&mut self, board: &mut Blackboard, kind: LeaseKind, row: Option<&Row>, out: &mut Vec<Action>) {
        let Some(row) = row else {
            self.seen.remove(&kind);
            return self.take_over(board, kind, out);
        };
        let RowValue::Lease(standing) = &row.value else { return };
        let known = self.seen.get(&kind).is_some_and(|seen| seen.version == row.version);
        if !known {
            let seen = SeenLease { version: row.version, row: standing.clone(), since: board.now };
            self.seen.insert(kind, seen);
        }
        if is_own(board, standing) {
            self.confirm(board, kind, standing);
            self.reclaim(board, kind, row.version, standing, out);
        } else {
            board.leases.held.remove(&kind);
            self.take_over(board, kind, out);
        }
    }

    /// A row in this node's name stands: it holds the lease from when it sent that very write.
    fn confirm(&mut self, board: &mut Blackboard, kind: LeaseKind, standing: &LeaseRow) {
        let Some(sent) = self.sent.get_mut(&kind) else { return };
        sent.settled = true;
        // Another write of this node made the row: how long ago is not known.
        if sent.fencing != standing.fencing || sent.renewals != standing.renewals {
            return;
        }
        let until = sent.sent + board.tuning.lease_length.saturating_sub(Self::margin(board));
        let since = board.leases.held.get(&kind).filter(|held| held.fencing == standing.fencing);
        let since = since.map_or(board.now, |held| held.since);
        board.leases.held.insert(kind, HeldLease { fencing: standing.fencing, since, until });
    }

    /// A lease that lapsed in this node's name, since nobody else took it, starts anew.
    fn reclaim(
        &mut self,
        board: &mut Blackboard,
        kind: LeaseKind,
        version: RowVersion,
        standing: &LeaseRow,
        out: &mut Vec<Action>,
    ) {
        let wanted = board.state == NodeState::Serving && !board.leases.holds(kind, board.now);
        if wanted && !is_busy(board, kind) {
            let row = LeaseRow { fencing: standing.fencing + 1, ..standing.clone() };
            self.write(board, kind, Some(version), row, out);
        }
    }

    /// The next look is no later than the moment at which the lease may be taken over.
    fn look_when_lapsed(&mut self, board: &Blackboard, kind: LeaseKind) {
        let (Some(seen), Some(look_at)) = (self.seen.get(&kind), self.look_at.get_mut(&kind)) else { return };
        let lapses = seen.since + board.tuning.lease_length + Self::margin(board) + Duration::from_millis(1);
        *look_at = lapses.min(*look_at);
    }

    fn take_over(&mut self, board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
        if board.state != NodeState::Serving || is_busy(board, kind) {
            return;
        }
        let seen = self.seen.get(&kind);
        let lapsed = seen.is_none_or(|seen| {
            let free = seen.row.owner.as_str().is_empty();
            free || board.now.since(seen.since) > board.tuning.lease_length + Self::margin(board)
        });
        if !lapsed {
            return self.look_when_lapsed(board, kind);
        }
        let row = LeaseRow {
            owner: board.identity.node.clone(),
            instance: board.identity.instance,
            fencing: seen.map_or(0, |seen| seen.row.fencing) + 1,
            renewals: 0,
        };
        let version = seen.map(|seen| seen.version);
        self.write(board, kind, version, row, out);
    }

    fn on_written(&mut self, board: &mut Blackboard, kind: LeaseKind, reply: &StoreReply, out: &mut Vec<Action>) {
        match reply {
            StoreReply::Written(version) => {
                let Some(sent) = self.sent.get(&kind) else { return };
                let row = LeaseRow {
                    owner: board.identity.node.clone(),
                    instance: board.identity.instance,
                    fencing: sent.fencing,
                    renewals: sent.renewals,
                };
                let row = Row { version: *version, value: RowValue::Lease(row) };
                self.on_row(board, kind, Some(&row), out);
            }
            StoreReply::Conflict(row) => self.on_row(board, kind, row.as_ref(), out),
            // It may have been written: the row tells, and counts from when this write was sent.
            StoreReply::Lost => self.look_at.insert(kind, board.now).map_or((), drop),
            StoreReply::Read(_) | StoreReply::NotSent => {}
        }
    }

    /// A node that leaves gives its leases up, so that successors need not wait.
    fn give_up(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        for kind in Self::KINDS {
            let held = board.leases.held(kind, board.now);
            board.leases.held.remove(&kind);
            let Some((seen, _)) = self.seen.get(&kind).cloned().zip(held) else { continue };
            let row = LeaseRow { owner: NodeName::new(""), ..seen.row };
            self.write(board, kind, Some(seen.version), row, out);
            // No answer to a write of this node, this one included, makes it the holder again.
            self.sent.remove(&kind);
        }
    }
}

impl Controller for LeaseController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(board, out),
            Event::StopAsked => self.give_up(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match (purpose, reply) {
            (StorePurpose::ReadLease(kind), StoreReply::Read(row)) => self.on_row(board, *kind, row.as_ref(), out),
            (StorePurpose::WriteLease(kind), reply) => self.on_written(board, *kind, reply, out),
            _ => {}
        }
    }
}

fn is_own(board: &Blackboard, row: &LeaseRow) -> bool {
    row.owner == board.identity.node && row.instance == board.identity.instance
}

fn is_busy(board: &Blackboard, kind: LeaseKind) -> bool {
    board.store.is_open(&StorePurpose::ReadLease(kind)) || board.store.is_open(&StorePurpose::WriteLease(kind))
}

fn read(board: &mut Blackboard, kind: LeaseKind, out: &mut Vec<Action>) {
    let op = StoreOp::Read { key: RowKey::Lease(kind) };
    board.store.send(StorePurpose::ReadLease(kind), op, &mut board.counters, out);
}

/// Whether this node is among the first by name of those that serve.
fn is_candidate(board: &Blackboard) -> bool {
    let own = &board.identity.node;
    let before = board.members.serving().filter(|(node, _)| *node < own).take(LeaseController::CANDIDATES).count();
    board.state == NodeState::Serving && before < LeaseController::CANDIDATES
}
