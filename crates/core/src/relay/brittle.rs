//! Brittle targets, which crash when they have to reject many calls for lack of room.
//!
//! A brittle target says in its answers how many rejections a second it withstands, and may stop to queue calls. While
//! it does, a call to it needs a permit of the service's limit keeper, which leases the target's slots to the calls of
//! all nodes. A rejection shows that the target has less room, and lowers the number of leases for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::rate_limits::LimitTable;

/// Number of calls that a brittle target can reject in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectTolerance(pub u32);

/// Rejections that brittle targets withstand.
pub type BrittleTable = LimitTable<RejectTolerance>;

/// Identifier of a lease: a random number drawn by the node that makes the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

/// Room of a brittle target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomLimit {
    /// Number of calls that the target runs at once.
    pub slots: u32,
    /// Rejections that it withstands.
    pub tolerance: RejectTolerance,
}

/// For whom a node gives permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PermitRole {
    /// For all nodes, as the keeper in its own view.
    Keeper,
    /// For nodes that see it as the keeper, which it is not in its own view.
    FormerKeeper,
    /// For itself, without an answer of the keeper.
    Alone,
}

/// The end of a call with a lease, as it is reported to the keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseEnd {
    /// The lease.
    pub lease: LeaseId,
    /// Target of the call.
    pub target: TargetName,
    /// Whether the target rejected the call.
    pub is_rejected: bool,
}

impl LeaseEnd {
    /// Time after which the room of a call counts as free if its connection was closed before the answer was complete. A target
    /// goes on with such a call until it notices that. The time is an assumption: targets do not state theirs.
    pub const ABANDONED_DELAY: Duration = Duration::from_millis(200);
}

#[derive(Clone, Debug)]
struct RoomLease {
    target: TargetName,
    granted_at: Moment,
    ends_at: Moment,
}

/// Room of one target, as its keeper knows it.
#[derive(Clone, Debug)]
struct TargetRoom {
    lease_count: u32,
    /// Calls in flight that have no lease of this node: they began before the target became brittle, or before this
    /// node became the keeper. `None` until the reports of nodes are counted.
    unleased_count: Option<u32>,
    /// Number of calls in flight at the last rejection that the target had room for, and when it was.
    rejected_above: Option<(u32, Moment)>,
    rejections: VecDeque<Moment>,
    /// Moving average of the time that a call takes.
    average_hold: Duration,
    used_at: Moment,
}

/// Leases of the room of brittle targets.
#[derive(Clone, Debug, Default)]
pub struct RoomLedger {
    leases: BTreeMap<LeaseId, RoomLease>,
    rooms: BTreeMap<TargetName, TargetRoom>,
}

/// The part of a target's room that a node gives.
#[derive(Clone, Copy, Debug)]
struct RoomShare {
    /// Fraction of the room and of the tolerated rejections.
    ratio: f64,
    /// Whether one call is allowed where the fraction is below one.
    is_one_call_allowed: bool,
}

impl TargetRoom {
    /// Time in which the keeper counts rejections. It is longer than the second of the targets, because reports of
    /// rejections take time.
    const REJECT_WINDOW: Duration = Duration::from_millis(1_200);
    /// Fraction of the tolerated rejections after which a target gets no more calls. Calls that are in flight may be
    /// rejected too.
    const USED_TOLERANCE_RATIO: f64 = 0.5;
    /// Interval at which one more call is tried after rejections.
    const GROWTH_INTERVAL: Duration = Duration::from_millis(400);
    /// Weight of the newest call in the average of their times.
    const NEWEST_HOLD_WEIGHT: f64 = 0.2;
    /// Assumed time of a call before the first one has ended.
    const DEFAULT_HOLD: Duration = Duration::from_millis(250);

    fn new(now: Moment) -> Self {
        Self {
            lease_count: 0,
            unleased_count: None,
            rejected_above: None,
            rejections: VecDeque::new(),
            average_hold: Self::DEFAULT_HOLD,
            used_at: now,
        }
    }

    fn in_flight(&self) -> u32 {
        self.lease_count + self.unleased_count.unwrap_or_default()
    }

    /// Returns the number of calls that the target has room for.
    fn capacity(&self, slots: u32, now: Moment) -> u32 {
        let slots = slots.max(1);
        let Some((count, rejected_at)) = self.rejected_above else { return slots };
        let grown = now.since(rejected_at).as_millis() / Self::GROWTH_INTERVAL.as_millis();
        slots.min(count.max(1) + grown as u32)
    }

    /// Checks whether one more call fits into the `share` of the room that this node gives. Returns the time after which
    /// one is expected to fit otherwise.
    fn check(&mut self, limit: RoomLimit, in_flight: u32, share: RoomShare, now: Moment) -> Result<(), Duration> {
        let allowed_rejections = (f64::from(limit.tolerance.0) * Self::USED_TOLERANCE_RATIO).max(1.0) * share.ratio;
        let window = Self::REJECT_WINDOW.div_f64(allowed_rejections.clamp(1e-3, 1.0));
        while self.rejections.front().is_some_and(|at| now.since(*at) >= window) {
            self.rejections.pop_front();
        }
        if self.rejections.len() >= allowed_rejections.max(1.0) as usize
            && let Some(first) = self.rejections.front()
        {
            return Err(window.saturating_sub(now.since(*first)));
        }
        let shared = (f64::from(self.capacity(limit.slots, now)) * share.ratio) as u32;
        let shared = shared.max(u32::from(share.is_one_call_allowed));
        if in_flight < shared {
            return Ok(());
        }
        Err(self.average_hold / shared.max(1))
    }
}

impl RoomLedger {
    /// Time without calls after which the room of a target is forgotten.
    const ROOM_LIFETIME: Duration = Duration::from_mins(1);

    /// Returns the room of a target. `reported_count` is the number of calls in flight that nodes have reported.
    fn room(&mut self, target: &TargetName, reported_count: u32, now: Moment) -> &mut TargetRoom {
        let room = self.rooms.entry(target.clone()).or_insert_with(|| TargetRoom::new(now));
        // Calls without a lease become fewer only; a higher count comes from calls that have ended since the reports.
        let reported_count = reported_count.saturating_sub(room.lease_count);
        room.unleased_count = Some(room.unleased_count.map_or(reported_count, |known| known.min(reported_count)));
        room.used_at = now;
        room
    }

    /// Has the calls without a lease at these targets counted again from the reports.
    pub(super) fn recount_unleased<'a>(&mut self, targets: impl Iterator<Item = &'a TargetName>) {
        for target in targets {
            if let Some(room) = self.rooms.get_mut(target) {
                room.unleased_count = None;
            }
        }
    }

    /// Leases room at a target to a call that ends within `hold_time`.
    pub(super) fn grant(&mut self, lease: LeaseId, target: &TargetName, hold_time: Duration, now: Moment) {
        let new = RoomLease { target: target.clone(), granted_at: now, ends_at: now + hold_time };
        let old = self.leases.insert(lease, new);
        if let Some(old) = old {
            self.forget_lease(&old.target);
        }
        if let Some(room) = self.rooms.get_mut(target) {
            room.lease_count += 1;
        }
    }

    fn forget_lease(&mut self, target: &TargetName) {
        if let Some(room) = self.rooms.get_mut(target) {
            room.lease_count = room.lease_count.saturating_sub(1);
        }
    }

    /// Records the end of a call. A rejection counts whether or not the lease is known.
    pub fn record_end(&mut self, end: &LeaseEnd, now: Moment) {
        let lease = self.leases.remove(&end.lease);
        if end.is_rejected {
            let room = self.rooms.entry(end.target.clone()).or_insert_with(|| TargetRoom::new(now));
            room.rejections.push_back(now);
            let count = room.in_flight().saturating_sub(1);
            // Calls that are rejected together show the same lack of room.
            let count = room
                .rejected_above
                .filter(|(_, at)| now.since(*at) < TargetRoom::GROWTH_INTERVAL)
                .map_or(count, |(known, _)| known.min(count));
            room.rejected_above = Some((count, now));
        }
        let Some(lease) = lease else { return };
        self.forget_lease(&lease.target);
        if let Some(room) = self.rooms.get_mut(&lease.target).filter(|_| !end.is_rejected) {
            let (old_weight, hold) = (1.0 - TargetRoom::NEWEST_HOLD_WEIGHT, now.since(lease.granted_at));
            room.average_hold = room.average_hold.mul_f64(old_weight) + hold.mul_f64(TargetRoom::NEWEST_HOLD_WEIGHT);
        }
    }

    /// Forgets a target that is gone or has started again.
    fn remove_target(&mut self, target: &TargetName) {
        self.rooms.remove(target);
        self.leases.retain(|_, lease| lease.target != *target);
    }

    pub(super) fn remove_expired(&mut self, now: Moment) {
        let expired = self.leases.extract_if(.., |_, lease| lease.ends_at < now);
        let targets: Vec<TargetName> = expired.map(|(_, lease)| lease.target).collect();
        for target in &targets {
            self.forget_lease(target);
        }
        self.rooms.retain(|_, room| room.lease_count > 0 || now.since(room.used_at) < Self::ROOM_LIFETIME);
    }
}

impl RelayBoard {
    /// Fraction of the room that a node gives while another may be the keeper in the view of some nodes.
    const TAKEOVER_SHARE: f64 = 0.5;
    /// Fraction of the fleet that a keeper must see. One that sees less gives the fraction that it sees.
    const MIN_VISIBLE_RATIO: f64 = 0.75;

    /// Returns the room of a target of `service` if it is brittle. A target that has said nothing counts as brittle
    /// while another one of the service is.
    #[must_use]
    pub fn room_limit(&self, service: &ServiceName, target: &TargetName) -> Option<RoomLimit> {
        if self.brittle.is_empty() || self.brittle.has_ended(target) {
            return None;
        }
        let view = self.targets.get(target)?;
        let tolerance = self.brittle.get(target).or_else(|| self.reject_tolerance(service))?;
        let batch = self.index.services.get(service).and_then(|settings| settings.batch.as_ref());
        Some(RoomLimit { slots: batch.map_or(view.entry.slots, |batch| batch.slots), tolerance })
    }

    /// Returns the rejections that each target of `service` withstands, or `None` if no target is brittle.
    #[must_use]
    pub fn reject_tolerance(&self, service: &ServiceName) -> Option<RejectTolerance> {
        self.targets.of(service).filter_map(|view| self.brittle.get(&view.entry.target)).min()
    }

    /// Returns the services with brittle targets, with the rejections that each of the targets withstands.
    #[must_use]
    pub fn brittle_services(&self) -> BTreeMap<ServiceName, RejectTolerance> {
        if self.brittle.is_empty() {
            return BTreeMap::new();
        }
        let services: BTreeSet<&ServiceName> = self.targets.iter().map(|view| &view.entry.service).collect();
        services.into_iter().filter_map(|service| Some((service.clone(), self.reject_tolerance(service)?))).collect()
    }

    /// Returns the targets of `service` that have no limit.
    pub(super) fn unlimited_targets(&self, service: &ServiceName) -> BTreeSet<TargetName> {
        let names = self.targets.of(service).map(|view| &view.entry.target);
        names.filter(|target| self.target_limits(service, target).is_none()).cloned().collect()
    }

    /// Checks whether a brittle target has room for one more call, of which this node gives the fraction `ratio`.
    /// Returns the time after which it is expected to have room otherwise.
    pub(super) fn check_room(
        &mut self,
        target: &TargetName,
        limit: RoomLimit,
        role: PermitRole,
        ratio: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        // Where the share of a node is below one call, as many nodes get one as the target has slots.
        let max_callers = limit.slots.min(limit.tolerance.0).max(1) as usize;
        let is_one_call_allowed = role != PermitRole::Alone
            || self.members.rendezvous_position(target.as_str(), &self.identity.node, now) < max_callers;
        let view = self.targets.get(target);
        let (own_count, reported_count) = view.map_or((0, 0), |view| (view.in_flight, view.total_in_flight()));
        let room = self.rooms.room(target, reported_count, now);
        let in_flight = if role == PermitRole::Alone { own_count.max(room.lease_count) } else { room.in_flight() };
        room.check(limit, in_flight, RoomShare { ratio, is_one_call_allowed }, now)
    }

    /// Returns the fraction of the room of `service` that this node gives.
    pub(super) fn room_ratio(&self, service: &ServiceName, role: PermitRole, now: Moment) -> f64 {
        let node_count = self.members.budget_node_count().max(1) as f64;
        let visible_ratio = (self.members.alive(now).count() + 1) as f64 / node_count;
        let visible_share = if visible_ratio < Self::MIN_VISIBLE_RATIO { visible_ratio } else { 1.0 };
        match role {
            PermitRole::Alone => 1.0 / node_count,
            PermitRole::Keeper if self.permit_buckets.is_settled(service, now) => visible_share,
            PermitRole::Keeper | PermitRole::FormerKeeper => visible_share.min(Self::TAKEOVER_SHARE),
        }
    }

    /// Leases room at a brittle target to a call of this node that batches pieces. Returns whether the target is
    /// brittle, and the end of the call is to be reported.
    pub fn grant_room(
        &mut self,
        service: &ServiceName,
        target: &TargetName,
        lease: LeaseId,
        hold_time: Duration,
        now: Moment,
    ) -> bool {
        let is_brittle = self.room_limit(service, target).is_some();
        if is_brittle {
            self.rooms.grant(lease, target, hold_time, now);
        }
        is_brittle
    }

    /// Records the end of a call with a lease of this node.
    pub fn record_lease_end(&mut self, end: &LeaseEnd, now: Moment) {
        self.rooms.record_end(end, now);
    }

    /// Forgets the limits of a target that is gone or has started again.
    pub(super) fn forget_limits(&mut self, target: &TargetName) {
        self.rate_limits.remove_target(target);
        self.brittle.remove_target(target);
        self.rooms.remove_target(target);
    }
}
