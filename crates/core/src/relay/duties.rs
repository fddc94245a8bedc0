//! Duties: calls to the platform that one node at a time makes for all, under a fenced lease.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::blackboard::Identity;
use crate::clock::Moment;
use crate::fenced_lease::{FencedLease, FencedRow, LeaseClaim, LeaseReply, LeaseStep};
use crate::message::NodeState;
use crate::names::NodeName;
use crate::relay::board::RelayBoard;
use crate::relay::members::{CallVersion, rendezvous_weight};

/// Kind of a duty.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyKind {
    /// Reports the requests that began to run, by organisation and window of time.
    Metering,
    /// Orders the number of targets of each service that can be scaled.
    Autoscale,
}

impl DutyKind {
    /// Returns the key of the row that holds the lease of this duty in an era of the store. Later eras have rows of their
    /// own, so that no write of an earlier era can change them.
    #[must_use]
    pub fn row_key(self, era: u64) -> Arc<str> {
        if era == 0 { Arc::from(self.to_string()) } else { Arc::from(format!("{self}/{era}")) }
    }
}

/// Times of the duties, as the settings give them.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyTimes {
    /// Length of the lease under which a node has a duty.
    pub lease_length: Duration,
    /// Length of a window of metering.
    pub window_length: Duration,
    /// Time from the end of a window by which its report is due.
    pub report_timeout: Duration,
}

impl Default for DutyTimes {
    fn default() -> Self {
        Self {
            lease_length: Duration::from_secs(3),
            window_length: Duration::from_secs(5),
            report_timeout: Duration::from_secs(10),
        }
    }
}

/// A duty that this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// Fencing token that calls carry. It grows with each new holder.
    pub fence: u64,
    /// Time from which this node must not act under the lease any more.
    pub expires_at: Moment,
}

/// What has changed about a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DutyEvent {
    /// This node got the right to act.
    Acquired,
    /// The lease of this node expired before the store confirmed it again.
    Expired,
    /// Another node took the duty over.
    Superseded,
    /// This node gave the duty up.
    Released,
    /// The platform has seen a higher fencing token than that of this node.
    Refused,
    /// The row names another holder than before, or a holder that released the duty.
    HolderChanged,
}

/// A change of a duty, with what is known of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyChange {
    /// The duty.
    pub kind: DutyKind,
    /// What has changed.
    pub event: DutyEvent,
    /// Fencing token of this node for events about its own right, otherwise that of the row.
    pub fence: u64,
    /// Content of the row as last seen; `None` if the row does not exist.
    pub row: Option<FencedRow>,
    /// Time since this version of the row was first seen.
    pub row_age: Duration,
    /// Time for which this node may still act.
    pub time_left: Duration,
}

/// Lease of one duty, with what was last reported about it.
#[derive(Clone, Debug, Default)]
struct DutyLease {
    lease: FencedLease,
    /// Fencing token under which this node could act when changes were last collected.
    acting_fence: Option<u64>,
    /// Holder, fencing token and freedom of the row when changes were last collected.
    reported_row: Option<(NodeName, u64, bool)>,
}

/// Duties that this node competes for, at most one lease of each kind.
#[derive(Clone, Debug, Default)]
pub struct DutyTable {
    duties: BTreeMap<DutyKind, DutyLease>,
    changes: Vec<DutyChange>,
}

impl DutyTable {
    /// Returns the duty of `kind` if this node may act on it at `now`.
    #[must_use]
    pub fn held(&self, kind: DutyKind, now: Moment) -> Option<HeldDuty> {
        let held = self.duties.get(&kind)?.lease.held(now)?;
        Some(HeldDuty { fence: held.fencing, expires_at: held.expires_at })
    }

    /// Ends the right to act on a duty at once, after a call was refused for its fencing token. The duty is held again only
    /// with a higher fencing token.
    pub fn end_right(&mut self, kind: DutyKind) {
        let duty = self.duties.entry(kind).or_default();
        if let Some(fence) = duty.lease.end_right() {
            duty.acting_fence = None;
            self.push_change(kind, DutyEvent::Refused, fence, Moment::default());
        }
    }

    /// Returns the next call to the store about a duty, if one is due. `is_candidate` tells whether this node competes for
    /// the duty. The caller must not ask for a step while a call about the duty is in flight.
    pub fn next_step(
        &mut self,
        kind: DutyKind,
        claim: &LeaseClaim<'_>,
        is_candidate: bool,
        now: Moment,
    ) -> Option<LeaseStep> {
        self.collect_changes(kind, now);
        let duty = self.duties.entry(kind).or_default();
        if is_candidate {
            return duty.lease.due_step(claim, now);
        }
        let step = duty.lease.release_step(claim, now);
        if let Some(fence) = duty.acting_fence.take() {
            self.push_change(kind, DutyEvent::Released, fence, now);
        }
        step
    }

    /// Handles the reply to a call about a duty. Returns the call that follows at once, if any.
    pub fn handle_reply(
        &mut self,
        kind: DutyKind,
        claim: &LeaseClaim<'_>,
        reply: LeaseReply,
        now: Moment,
    ) -> Option<LeaseStep> {
        let lease = &mut self.duties.entry(kind).or_default().lease;
        let is_row = matches!(reply, LeaseReply::Row { .. });
        let step = lease.handle_reply(claim, reply, now);
        let step = step.or_else(|| is_row.then(|| lease.overdue_renewal(claim, now)).flatten());
        self.collect_changes(kind, now);
        step
    }

    /// Returns the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<DutyChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records what has changed about a duty since the last call.
    fn collect_changes(&mut self, kind: DutyKind, now: Moment) {
        let duty = self.duties.entry(kind).or_default();
        let row = duty.lease.observed().map(|(row, _)| (row.holder.clone(), row.fence, row.is_free));
        let is_row_new = row.is_some() && row != duty.reported_row;
        let is_same_holder = row.as_ref().zip(duty.reported_row.as_ref()).is_some_and(|(new, old)| new.0 == old.0);
        let row_fence = row.as_ref().map_or(0, |(_, fence, _)| *fence);
        if is_row_new {
            duty.reported_row = row;
        }
        let fence = duty.lease.held(now).map(|held| held.fencing);
        let before = std::mem::replace(&mut duty.acting_fence, fence);
        if let Some(lost) = before.filter(|_| fence.is_none()) {
            let event = if is_row_new && !is_same_holder { DutyEvent::Superseded } else { DutyEvent::Expired };
            self.push_change(kind, event, lost, now);
        }
        if is_row_new && fence.is_none() {
            self.push_change(kind, DutyEvent::HolderChanged, row_fence, now);
        }
        if let Some(acquired) = fence.filter(|_| fence != before) {
            self.push_change(kind, DutyEvent::Acquired, acquired, now);
        }
    }

    fn push_change(&mut self, kind: DutyKind, event: DutyEvent, fence: u64, now: Moment) {
        let Some(duty) = self.duties.get(&kind) else { return };
        let (row, first_seen_at) =
            duty.lease.observed().map_or((None, now), |(row, first_seen_at)| (Some(row.clone()), first_seen_at));
        let time_left = duty.lease.held(now).map_or(Duration::ZERO, |held| now.until(held.expires_at));
        let change = DutyChange { kind, event, fence, row, row_age: now.since(first_seen_at), time_left };
        self.changes.push(change);
    }
}

impl RelayBoard {
    /// Number of nodes that compete for a duty. It is small so that not every node sends calls to the store.
    const MAX_DUTY_CANDIDATES: usize = 3;

    /// Returns the names and the peer addresses of the nodes that compete for a duty, in rendezvous order: the first three
    /// of the live, serving nodes that know of duties, including this one.
    #[must_use]
    pub fn duty_candidates(&self, kind: DutyKind, now: Moment) -> Vec<(NodeName, SocketAddr)> {
        let own = (self.state == NodeState::Serving).then_some((&self.identity.node, self.identity.peer_address));
        let peers = self.members.serving(now).filter(|view| view.heartbeat.call_version >= CallVersion::DUTIES);
        let peers = peers.map(|view| (&view.heartbeat.node, view.heartbeat.peer_address));
        let key = kind.to_string();
        let mut nodes: Vec<_> = own.into_iter().chain(peers).collect();
        nodes.sort_by_cached_key(|(node, _)| Reverse((rendezvous_weight(&key, node.as_str()), (*node).clone())));
        nodes.into_iter().take(Self::MAX_DUTY_CANDIDATES).map(|(node, address)| (node.clone(), address)).collect()
    }

    /// Returns the next call to the store about a duty, if one is due.
    pub fn next_duty_step(&mut self, kind: DutyKind, times: &DutyTimes, now: Moment) -> Option<LeaseStep> {
        let is_candidate = self.is_duty_candidate(kind, now);
        let claim = claim(&self.identity, times, is_candidate);
        self.duties.next_step(kind, &claim, is_candidate, now)
    }

    /// Handles the reply to a call about a duty. Returns the call that follows at once, if any.
    pub fn handle_duty_reply(
        &mut self,
        kind: DutyKind,
        times: &DutyTimes,
        reply: LeaseReply,
        now: Moment,
    ) -> Option<LeaseStep> {
        let claim = claim(&self.identity, times, self.is_duty_candidate(kind, now));
        self.duties.handle_reply(kind, &claim, reply, now)
    }

    fn is_duty_candidate(&self, kind: DutyKind, now: Moment) -> bool {
        self.duty_candidates(kind, now).iter().any(|(node, _)| *node == self.identity.node)
    }
}

fn claim<'a>(identity: &'a Identity, times: &DutyTimes, can_acquire: bool) -> LeaseClaim<'a> {
    let (node, instance, length) = (&identity.node, identity.instance, times.lease_length);
    LeaseClaim { node, instance, length, can_acquire }
}
