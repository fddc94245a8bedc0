//! Leases of controllers: held in the table service, renewed by their holder, taken over when they expire. The rules are
//! those of [`crate::fenced_lease`].

use std::collections::BTreeMap;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
use crate::fenced_lease::{FencedLease, FencedRow, HeldLease, LeaseClaim, LeaseReply, LeaseStep};
use crate::message::NodeState;
use crate::names::NodeName;
use crate::relay::store_version::StoreVersion;
use crate::store::{LeaseKind, LeaseRow, Row, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// Leases that this node competes for, at most one of each kind.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseKind, FencedLease>,
}

impl LeaseTable {
    /// Returns the lease of `kind` if this node may act under it at `now`.
    #[must_use]
    pub fn held(&self, kind: LeaseKind, now: Moment) -> Option<HeldLease> {
        self.leases.get(&kind)?.held(now)
    }

    /// Stops this node from acting under a lease until the table service confirms the lease again.
    pub fn revoke(&mut self, kind: LeaseKind) {
        self.lease(kind).revoke();
    }

    /// Returns whether this node may act under the lease of `kind` at `now`.
    #[must_use]
    pub fn holds(&self, kind: LeaseKind, now: Moment) -> bool {
        self.held(kind, now).is_some()
    }

    fn lease(&mut self, kind: LeaseKind) -> &mut FencedLease {
        self.leases.entry(kind).or_default()
    }
}

/// Acquires, renews and releases leases.
#[derive(Debug)]
pub struct LeaseController {
    /// Kinds of leases that the node competes for.
    kinds: [LeaseKind; 2],
}

impl Default for LeaseController {
    fn default() -> Self {
        Self { kinds: [LeaseKind::Rollout, LeaseKind::Orders] }
    }
}

impl LeaseController {
    /// Number of serving nodes, the first by name, that compete for leases. It is small so that not every node sends
    /// requests to the table service.
    const MAX_CANDIDATES: usize = 3;
}

impl Controller for LeaseController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => handle_tick(board, self.kinds, out),
            Event::StopRequested => release_all(board, self.kinds, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match (purpose, reply) {
            (StorePurpose::ReadLease(kind), StoreReply::Read(row)) => handle_row(board, *kind, row.as_ref(), out),
            (StorePurpose::WriteLease(kind), reply) => handle_write_reply(board, *kind, reply, out),
            _ => {}
        }
    }
}

/// Renews or reads each lease whose check is due, if this node competes for leases.
fn handle_tick(board: &mut Blackboard, kinds: [LeaseKind; 2], out: &mut Vec<Action>) {
    if !is_candidate(board) || !board.store.is_backoff_over(board.now) {
        return;
    }
    for kind in kinds {
        if !has_open_operation(board, kind) {
            let now = board.now;
            let step = with_claim(board, kind, |lease, claim| lease.due_step(claim, now));
            send_step(board, kind, step, out);
        }
    }
}

/// Handles the row of a lease as read from or written to the table service.
fn handle_row(board: &mut Blackboard, kind: LeaseKind, row: Option<&Row>, out: &mut Vec<Action>) {
    let row = match row {
        None => None,
        Some(Row { version, value: RowValue::Lease(row) }) => Some((StoreVersion::new(0, version.0), decode_row(row))),
        Some(_) => return,
    };
    handle_reply(board, kind, LeaseReply::Row { era: 0, row }, out);
}

/// Handles the reply to a write of the lease's row. A successful write is handled like a read of the row written.
fn handle_write_reply(board: &mut Blackboard, kind: LeaseKind, reply: &StoreReply, out: &mut Vec<Action>) {
    match reply {
        StoreReply::Written(version) => {
            handle_reply(board, kind, LeaseReply::Written(StoreVersion::new(0, version.0)), out);
        }
        StoreReply::Conflict(row) => handle_row(board, kind, row.as_ref(), out),
        StoreReply::Lost => handle_reply(board, kind, LeaseReply::WriteLost, out),
        StoreReply::Read(_) | StoreReply::NotSent => {}
    }
}

fn handle_reply(board: &mut Blackboard, kind: LeaseKind, reply: LeaseReply, out: &mut Vec<Action>) {
    let now = board.now;
    let step = with_claim(board, kind, |lease, claim| lease.handle_reply(claim, reply, now));
    send_step(board, kind, step, out);
}

/// Releases the leases of a node that stops, so that successors need not wait until they expire.
fn release_all(board: &mut Blackboard, kinds: [LeaseKind; 2], out: &mut Vec<Action>) {
    for kind in kinds {
        let step = board.leases.lease(kind).release(board.now);
        send_step(board, kind, step, out);
    }
}

/// Returns the step of the lease of `kind` that this node's claim leads to.
fn with_claim(
    board: &mut Blackboard,
    kind: LeaseKind,
    step: impl FnOnce(&mut FencedLease, &LeaseClaim<'_>) -> Option<LeaseStep>,
) -> Option<LeaseStep> {
    let claim = LeaseClaim {
        node: &board.identity.node,
        instance: board.identity.instance,
        length: board.tuning.lease_length,
        can_acquire: board.state == NodeState::Serving && !has_open_operation(board, kind),
    };
    step(board.leases.leases.entry(kind).or_default(), &claim)
}

fn send_step(board: &mut Blackboard, kind: LeaseKind, step: Option<LeaseStep>, out: &mut Vec<Action>) {
    let key = RowKey::Lease(kind);
    let (purpose, op) = match step {
        None => return,
        Some(LeaseStep::Read) => (StorePurpose::ReadLease(kind), StoreOp::Read { key }),
        Some(LeaseStep::Write(write)) => {
            let expected = write.expected.map(|version| RowVersion(version.number));
            let value = RowValue::Lease(encode_row(&write.row));
            (StorePurpose::WriteLease(kind), StoreOp::Write { key, expected, value })
        }
    };
    board.store.send(purpose, op, &mut board.counters, out);
}

/// Decodes a row, which does not name the holder before.
fn decode_row(row: &LeaseRow) -> FencedRow {
    FencedRow {
        holder: row.owner.clone(),
        instance: row.instance,
        fence: row.fencing,
        renewals: row.renewals,
        previous: NodeName::new(""),
        is_free: row.owner.as_str().is_empty(),
    }
}

fn encode_row(row: &FencedRow) -> LeaseRow {
    let owner = if row.is_free { NodeName::new("") } else { row.holder.clone() };
    LeaseRow { owner, instance: row.instance, fencing: row.fence, renewals: row.renewals }
}

/// Returns whether a read or write of the lease's row is in flight.
fn has_open_operation(board: &Blackboard, kind: LeaseKind) -> bool {
    board.store.is_open(&StorePurpose::ReadLease(kind)) || board.store.is_open(&StorePurpose::WriteLease(kind))
}

/// Returns whether this node competes for leases: it is serving and among the first serving nodes by name.
fn is_candidate(board: &Blackboard) -> bool {
    let own = &board.identity.node;
    let preceding =
        board.members.serving().filter(|(node, _)| *node < own).take(LeaseController::MAX_CANDIDATES).count();
    board.state == NodeState::Serving && preceding < LeaseController::MAX_CANDIDATES
}
