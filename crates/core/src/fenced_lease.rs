//! State machine of a fenced lease: the right of one node at a time to act, held as a row in a store with conditional
//! writes.
//!
//! A holder counts the lease from the time at which it sent the write, and stops acting a margin before the end. Other
//! nodes count from the time at which they first saw the current version of the row, and wait a margin longer than the
//! lease. The holder therefore always stops before a successor starts, without synchronised clocks, as long as clock
//! rates differ by less than the margins.
//!
//! A store that is restored from an older copy gives version numbers out again, so that a write of an earlier era could
//! meet its condition by chance. Each era therefore has a row of its own, and fencing tokens carry the era.

use std::time::Duration;

use crate::clock::Moment;
use crate::names::{InstanceId, NodeName};
use crate::relay::store_version::StoreVersion;

/// Content of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedRow {
    /// Node that holds the lease, or that released it if the row is free.
    pub holder: NodeName,
    /// Instance of the holder.
    pub instance: InstanceId,
    /// Fencing token, incremented with each new holder.
    pub fence: u64,
    /// Number that differs in each write of an instance, so that a row shows which write made it.
    pub renewals: u64,
    /// Last other node that held the lease before the holder; empty if none is known.
    pub previous: NodeName,
    /// Whether the holder released the lease.
    pub is_free: bool,
}

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

/// The node that claims a lease, and the conditions of the claim.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClaim<'a> {
    /// Name of this node.
    pub node: &'a NodeName,
    /// Instance of this node.
    pub instance: InstanceId,
    /// Length of the lease. Holders renew after a quarter of it.
    pub length: Duration,
    /// Whether this node may acquire the lease now.
    pub can_acquire: bool,
}

impl LeaseClaim<'_> {
    /// Returns the margin by which a holder stops early and other nodes wait longer.
    fn margin(&self) -> Duration {
        self.length / 10
    }

    /// Returns the time after the sending of a write for which its sender may act.
    fn usable_length(&self) -> Duration {
        self.length.saturating_sub(self.margin())
    }

    /// Returns the time for which a node that is not the holder waits before it takes the lease over.
    fn takeover_wait(&self) -> Duration {
        self.length + self.margin()
    }

    fn renewal_interval(&self) -> Duration {
        self.length / 4
    }

    fn is_own(&self, row: &FencedRow) -> bool {
        !row.is_free && row.holder == *self.node && row.instance == self.instance
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Reads the row of the present era.
    Read,
    /// Writes the row if it has the expected version.
    Write(LeaseWrite),
}

/// A conditional write of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Era of the store that the row belongs to.
    pub era: u64,
    /// Version that the row must have; `None` if it must not exist.
    pub expected: Option<StoreVersion>,
    /// Content that the row gets.
    pub row: FencedRow,
}

/// The store's reply to a [`LeaseStep`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// Row of the era that replied, as read; `None` if it does not exist.
    Row {
        /// Era of the store.
        era: u64,
        /// Version and content of the row.
        row: Option<(StoreVersion, FencedRow)>,
    },
    /// The write took effect and gave the row this version.
    Written(StoreVersion),
    /// The write was certainly not carried out.
    WriteRefused,
    /// There is no reply to the write. It may have taken effect, or may take effect later.
    WriteLost,
    /// The row could not be read.
    ReadFailed,
}

/// Row of the present era as last seen.
#[derive(Clone, Debug)]
struct ObservedRow {
    version: StoreVersion,
    row: FencedRow,
    /// Time at which this version of the row was first seen.
    first_seen_at: Moment,
    /// Time at which a row with this fencing token was first seen.
    fence_seen_at: Moment,
}

/// The last write of the row that this node sent.
#[derive(Clone, Debug)]
struct SentWrite {
    sent_at: Moment,
    era: u64,
    row: FencedRow,
    /// Whether a row of this instance has been seen since the write was sent.
    is_resolved: bool,
    /// Whether any reply has told the state of the row since the write was sent.
    is_answered: bool,
}

impl SentWrite {
    /// Returns whether this write made a row of the era.
    fn made(&self, era: u64, row: &FencedRow) -> bool {
        (self.era, self.row.fence, self.row.renewals) == (era, row.fence, row.renewals)
    }
}

/// What a node knows of a lease, and its own right under it.
#[derive(Clone, Debug, Default)]
pub struct FencedLease {
    /// Latest era of the store that a reply has named.
    era: u64,
    /// Time at which a reply first named that era.
    era_seen_at: Moment,
    observed: Option<ObservedRow>,
    /// Node that held the lease before this node in the era before, if this node was its holder then.
    carried_previous: Option<NodeName>,
    last_write: Option<SentWrite>,
    /// Time at which the lease is next renewed or read; due at once if missing.
    next_check_at: Option<Moment>,
    /// Lease that the store confirmed last, which may have expired since.
    held: Option<HeldLease>,
    /// Highest fencing token that does not give the right to act any more.
    ended_fence: u64,
}

impl FencedLease {
    /// Number of low bits of a fencing token that count holders within an era.
    const ERA_SHIFT: u32 = 32;

    /// Returns the lease if this node may act under it at `now`.
    #[must_use]
    pub fn held(&self, now: Moment) -> Option<HeldLease> {
        self.held.filter(|lease| now < lease.expires_at)
    }

    /// Returns the row of the present era as last seen, and when its version was first seen.
    #[must_use]
    pub fn observed(&self) -> Option<(&FencedRow, Moment)> {
        self.observed.as_ref().map(|observed| (&observed.row, observed.first_seen_at))
    }

    /// Returns the latest era of the store that a reply has named.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Stops this node from acting until the store confirms the lease again.
    pub fn revoke(&mut self) {
        self.held = None;
    }

    /// Ends the right to act under the present fencing token for good. Returns the token.
    pub fn end_right(&mut self) -> Option<u64> {
        let held = self.held.take()?;
        self.ended_fence = self.ended_fence.max(held.fencing);
        Some(held.fencing)
    }

    /// Returns the call by which the lease is renewed or read, if it is due. The caller must not ask for a step while a
    /// call is in flight.
    pub fn due_step(&mut self, claim: &LeaseClaim<'_>, now: Moment) -> Option<LeaseStep> {
        if self.next_check_at.is_some_and(|due| due > now) {
            return None;
        }
        self.next_check_at = Some(now + claim.renewal_interval());
        Some(self.renewal(now).unwrap_or(LeaseStep::Read))
    }

    /// Returns the write that renews the lease if this node holds it and knows the result of its last write.
    fn renewal(&mut self, now: Moment) -> Option<LeaseStep> {
        self.held(now)?;
        let is_resolved = self.last_write.as_ref().is_some_and(|write| write.is_resolved);
        let observed = self.observed.as_ref().filter(|_| is_resolved)?;
        let (version, row) = (observed.version, observed.row.clone());
        Some(self.send_write(Some(version), row, now))
    }

    /// Returns the write that renews the lease if the last confirmed write is older than the renewal interval. That is so
    /// after a read which showed that the last write did not take effect.
    pub fn overdue_renewal(&mut self, claim: &LeaseClaim<'_>, now: Moment) -> Option<LeaseStep> {
        let held = self.held(now).filter(|_| claim.can_acquire)?;
        let is_overdue = held.expires_at.since(now) + claim.renewal_interval() <= claim.usable_length();
        let step = is_overdue.then(|| self.renewal(now))??;
        self.next_check_at = Some(now + claim.renewal_interval());
        Some(step)
    }

    /// Returns a write of the row with a renewal count that no earlier write of this instance had.
    fn send_write(&mut self, expected: Option<StoreVersion>, mut row: FencedRow, now: Moment) -> LeaseStep {
        let last_renewals = self.last_write.as_ref().map_or(0, |write| write.row.renewals);
        row.renewals = row.renewals.max(last_renewals) + 1;
        let era = self.era;
        self.last_write =
            Some(SentWrite { sent_at: now, era, row: row.clone(), is_resolved: false, is_answered: false });
        LeaseStep::Write(LeaseWrite { era, expected, row })
    }

    /// Handles the reply to a step. Returns the call that follows at once, if any.
    pub fn handle_reply(&mut self, claim: &LeaseClaim<'_>, reply: LeaseReply, now: Moment) -> Option<LeaseStep> {
        match reply {
            LeaseReply::Row { era, row } if era >= self.era => {
                self.enter_era(claim, era, now);
                self.handle_row(claim, row, now)
            }
            // The row of an era that is over, or none.
            LeaseReply::Row { .. } | LeaseReply::ReadFailed => None,
            LeaseReply::Written(version) => self.handle_written(claim, version, now),
            LeaseReply::WriteRefused => {
                // The write cannot take effect later, so that the row is known as well as before it.
                let is_own = self.observed.as_ref().is_some_and(|observed| claim.is_own(&observed.row));
                if let Some(write) = &mut self.last_write {
                    (write.is_resolved, write.is_answered) = (is_own, true);
                }
                None
            }
            // The next check, due now, reads the row to find out. If the write took effect, the lease counts from the time
            // at which the write was sent.
            LeaseReply::WriteLost => {
                self.next_check_at = Some(now);
                None
            }
        }
    }

    /// Forgets the row of an earlier era once a reply names a later one.
    fn enter_era(&mut self, claim: &LeaseClaim<'_>, era: u64, now: Moment) {
        if era <= self.era {
            return;
        }
        let own = self.observed.take().filter(|observed| claim.is_own(&observed.row));
        self.carried_previous = own.map(|observed| observed.row.previous);
        (self.era, self.era_seen_at) = (era, now);
    }

    /// Handles a successful write like a read of the row written.
    fn handle_written(&mut self, claim: &LeaseClaim<'_>, version: StoreVersion, now: Moment) -> Option<LeaseStep> {
        let write = self.last_write.as_ref()?;
        if version.era != write.era || version.era != self.era {
            // The store was restored before the write took effect, so that the row is not that of the present era.
            self.enter_era(claim, version.era, now);
            self.next_check_at = Some(now);
            return None;
        }
        let row = write.row.clone();
        if row.is_free {
            self.observe(version, row, now);
            return None;
        }
        self.handle_row(claim, Some((version, row)), now)
    }

    /// Records the row as seen, and keeps the times at which its version and its fencing token were first seen.
    fn observe(&mut self, version: StoreVersion, row: FencedRow, now: Moment) {
        if let Some(write) = &mut self.last_write {
            write.is_answered = true;
        }
        if self.observed.as_ref().is_some_and(|observed| observed.version == version) {
            return;
        }
        let same_fence = self.observed.as_ref().filter(|observed| observed.row.fence == row.fence);
        let fence_seen_at = same_fence.map_or(now, |observed| observed.fence_seen_at);
        self.observed = Some(ObservedRow { version, row, first_seen_at: now, fence_seen_at });
    }

    fn handle_row(
        &mut self,
        claim: &LeaseClaim<'_>,
        row: Option<(StoreVersion, FencedRow)>,
        now: Moment,
    ) -> Option<LeaseStep> {
        let Some((version, row)) = row else {
            self.observed = None;
            if let Some(write) = &mut self.last_write {
                write.is_answered = true;
            }
            return self.take_over_if_expired(claim, now);
        };
        self.observe(version, row.clone(), now);
        if claim.is_own(&row) {
            self.record_held(claim, &row, now);
            self.reacquire(claim, version, &row, now)
        } else {
            self.held = None;
            self.take_over_if_expired(claim, now)
        }
    }

    /// Records the lease as held, from the time at which the write that made the row was sent. The row must be of this
    /// instance.
    fn record_held(&mut self, claim: &LeaseClaim<'_>, row: &FencedRow, now: Moment) {
        let Some(write) = &mut self.last_write else { return };
        write.is_resolved = true;
        // Another write of this instance made the row, and the time at which that write was sent is not known.
        if !write.made(self.era, row) || row.fence <= self.ended_fence {
            return;
        }
        let expires_at = write.sent_at + claim.usable_length();
        let acquired_at = self.held.filter(|held| held.fencing == row.fence).map_or(now, |held| held.acquired_at);
        self.held = Some(HeldLease { fencing: row.fence, acquired_at, expires_at });
    }

    /// Acquires the lease again, under a new fencing token, if the lease has expired. The row names this instance, so
    /// no other node has taken the lease.
    fn reacquire(
        &mut self,
        claim: &LeaseClaim<'_>,
        version: StoreVersion,
        row: &FencedRow,
        now: Moment,
    ) -> Option<LeaseStep> {
        let should_acquire = claim.can_acquire && self.held(now).is_none();
        should_acquire.then(|| self.send_write(Some(version), FencedRow { fence: row.fence + 1, ..row.clone() }, now))
    }

    /// Returns the time after which this node may take the lease, which is not its own; `None` if it may at once.
    fn takeover_at(&self, claim: &LeaseClaim<'_>, now: Moment) -> Option<Moment> {
        let waits_since = match &self.observed {
            // A holder of the era before may still act, unless it is this node.
            None if self.era > 0 && self.held(now).is_none() => self.era_seen_at,
            None => return None,
            Some(observed) if !observed.row.is_free => observed.first_seen_at,
            // Holders A, B, A must not follow each other within a lease. A restored store may have lost who was the
            // holder before.
            Some(observed) => {
                let row = &observed.row;
                let is_unknown = self.era > 0 && row.previous.as_str().is_empty();
                let is_preceding = row.holder != *claim.node && (row.previous == *claim.node || is_unknown);
                is_preceding.then_some(observed.fence_seen_at)?
            }
        };
        Some(waits_since + claim.takeover_wait())
    }

    /// Writes this node into the row as the holder if the lease is free or expired. Otherwise brings the next check
    /// forward to the time at which the lease may be taken over, if that is earlier.
    fn take_over_if_expired(&mut self, claim: &LeaseClaim<'_>, now: Moment) -> Option<LeaseStep> {
        if !claim.can_acquire {
            return None;
        }
        if let Some(takeover_at) = self.takeover_at(claim, now).filter(|takeover_at| now <= *takeover_at) {
            let due = takeover_at + Duration::from_millis(1);
            self.next_check_at = self.next_check_at.map(|next| next.min(due));
            return None;
        }
        let observed = self.observed.as_ref();
        let none = || NodeName::new("");
        let previous = match observed.map(|observed| &observed.row) {
            Some(row) if row.holder == *claim.node => row.previous.clone(),
            Some(row) => row.holder.clone(),
            None => self.carried_previous.clone().filter(|_| self.held(now).is_some()).unwrap_or_else(none),
        };
        let last_fence = observed.map_or(self.era << Self::ERA_SHIFT, |observed| observed.row.fence);
        let row = FencedRow {
            holder: claim.node.clone(),
            instance: claim.instance,
            fence: last_fence + 1,
            renewals: 0,
            previous,
            is_free: false,
        };
        let version = observed.map(|observed| observed.version);
        Some(self.send_write(version, row, now))
    }

    /// Stops acting, and returns the write that frees the row if this node held the lease.
    pub fn release(&mut self, now: Moment) -> Option<LeaseStep> {
        let held = self.held(now);
        self.held = None;
        held.and_then(|_| self.free_row(now))
    }

    /// Stops acting, and returns the next call, if it is due, until the row is known not to name this node as its holder.
    pub fn release_step(&mut self, claim: &LeaseClaim<'_>, now: Moment) -> Option<LeaseStep> {
        let was_held = self.held(now).is_some();
        self.held = None;
        let is_answered = self.last_write.as_ref().is_none_or(|write| write.is_answered);
        let is_own = self.observed.as_ref().is_some_and(|observed| claim.is_own(&observed.row));
        let is_due = was_held || self.next_check_at.is_none_or(|due| due <= now);
        if !is_due || is_answered && !is_own {
            return None;
        }
        self.next_check_at = Some(now + claim.renewal_interval());
        if is_answered { self.free_row(now) } else { Some(LeaseStep::Read) }
    }

    /// Returns the write that frees the row as last seen.
    fn free_row(&mut self, now: Moment) -> Option<LeaseStep> {
        let observed = self.observed.as_ref()?;
        let (version, row) = (observed.version, FencedRow { is_free: true, ..observed.row.clone() });
        Some(self.send_write(Some(version), row, now))
    }
}
