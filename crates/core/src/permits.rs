//! Permits to call targets, issued so that the sum over all nodes stays within each target's limit.
//!
//! A permit is the right to one call in flight at one target. An environment has a fixed number of seats. Each seat
//! carries a fixed share of every target's limit: the limit divided by the number of seats, with the remainder
//! distributed by a hash of target and seat. A node uses only the shares of the seats that it holds, and may lend
//! single permits to peers. It does not use a lent permit until the permit is returned or the call under it must have
//! ended. The sum therefore stays within the limit whatever nodes believe of each other, and needs no agreement while
//! no seat changes its holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::document::Document;
use crate::message::SeatClaim;
use crate::names::{NodeName, TargetName, stable_hash};

/// The permit that an attempt runs under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// A permit from this node's own share.
    Own,
    /// A permit borrowed from a peer.
    Borrowed {
        /// The node that lent the permit.
        lender: NodeName,
        /// The number that the borrower gave its request for the permit.
        ticket: u64,
    },
}

/// A permit lent to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Loan {
    borrower: NodeName,
    ticket: u64,
    expires_at: Moment,
}

/// A borrowed permit that is not yet used.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BorrowedPermit {
    lender: NodeName,
    ticket: u64,
    start_deadline: Moment,
}

/// This node's use of permits at one target.
#[derive(Clone, Debug, Default)]
struct TargetPermits {
    /// Number of calls in flight under this node's own permits.
    own_in_flight: u32,
    /// Number of calls in flight under borrowed permits.
    borrowed_in_flight: u32,
    /// Own permits that are lent to peers.
    loans: Vec<Loan>,
    unused_borrowed: Vec<BorrowedPermit>,
    /// Rank of each seat in this target's order of seats. The first seats in that order get one permit each of the
    /// remainder.
    ranks: Vec<u32>,
}

/// This node's permits at each target, and the seats that they follow from.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    /// Seats whose rows name this node, as announced to peers. They include seats that are not yet or no longer in use.
    pub announced_seats: Vec<SeatClaim>,
    /// Seats that this node uses.
    seats: Vec<SeatClaim>,
    /// Number of seats of the environment.
    total_seats: u32,
    targets: BTreeMap<TargetName, TargetPermits>,
    /// Targets at which a permit may have become free since the index of ready targets was last updated.
    targets_to_recheck: BTreeSet<TargetName>,
    /// Whether a permit may have become free at every target since the index of ready targets was last updated.
    must_recheck_all: bool,
}

impl PermitTable {
    /// Computes the order of seats at each target of a new document, and marks all targets to be checked again.
    pub fn install(&mut self, document: &Document) {
        for target in document.targets.keys() {
            let permits = self.targets.entry(target.clone()).or_default();
            if permits.ranks.len() != document.seats as usize {
                permits.ranks = seat_ranks(target, document.seats);
            }
        }
        self.must_recheck_all = true;
    }

    /// Returns whether a permit may have become free at every target since the last call, and resets that state.
    pub fn take_must_recheck_all(&mut self) -> bool {
        std::mem::take(&mut self.must_recheck_all)
    }

    /// Marks a target whose limit rose as one at which a permit may have become free.
    pub fn record_limit_increase(&mut self, target: &TargetName) {
        self.targets_to_recheck.insert(target.clone());
    }

    /// Removes and returns a target at which a permit may have become free, or returns `None` if there is none.
    pub fn pop_target_to_recheck(&mut self) -> Option<TargetName> {
        self.targets_to_recheck.pop_first()
    }

    /// Sets the total number of seats and the seats that this node uses.
    pub fn set_seats(&mut self, total: u32, seats: Vec<SeatClaim>) {
        if total == self.total_seats && seats == self.seats {
            return;
        }
        self.must_recheck_all = true;
        self.total_seats = total;
        self.seats = seats;
    }

    /// Returns the seats that this node uses.
    #[must_use]
    pub fn seats(&self) -> &[SeatClaim] {
        &self.seats
    }

    /// Returns this node's share of `limit` at `target`, in calls in flight.
    #[must_use]
    pub fn share(&self, target: &TargetName, limit: u32) -> u32 {
        self.share_of(target, &self.seats, limit)
    }

    /// Returns the share of `limit` at `target` that `seats` carry, in calls in flight.
    #[must_use]
    pub fn share_of(&self, target: &TargetName, seats: &[SeatClaim], limit: u32) -> u32 {
        let ranks = self.targets.get(target).map_or(&[][..], |permits| &permits.ranks);
        total_share(target, ranks, seats, self.total_seats, limit)
    }

    /// Returns the number of this node's calls in flight at `target`.
    #[must_use]
    pub fn in_flight(&self, target: &TargetName) -> u32 {
        self.targets.get(target).map_or(0, |permits| permits.own_in_flight + permits.borrowed_in_flight)
    }

    /// Returns whether, at each target, calls under own permits and loans together are within the share of the seats in
    /// use.
    ///
    /// `limit` returns a target's limit in calls in flight.
    #[must_use]
    pub fn is_within_shares(&self, limit: impl Fn(&TargetName) -> u32) -> bool {
        self.targets.iter().all(|(target, permits)| {
            let used = permits.own_in_flight + permits.loans.len() as u32;
            used == 0 || used <= self.share(target, limit(target))
        })
    }

    /// Returns the number of free permits in this node's own share of `limit` at `target`.
    #[must_use]
    pub fn free_count(&self, target: &TargetName, limit: u32) -> u32 {
        let Some(permits) = self.targets.get(target) else { return self.share(target, limit) };
        let share = total_share(target, &permits.ranks, &self.seats, self.total_seats, limit);
        share.saturating_sub(permits.own_in_flight + permits.loans.len() as u32)
    }

    /// Takes a permit for one call, or returns `None` if none is free. Prefers a borrowed one, because it expires, to
    /// one of this node's own.
    pub fn take(&mut self, target: &TargetName, limit: u32, now: Moment) -> Option<Permit> {
        let free = self.free_count(target, limit);
        let permits = self.targets.entry(target.clone()).or_default();
        let startable = permits.unused_borrowed.iter().position(|borrowed| borrowed.start_deadline > now);
        if let Some(borrowed) = startable.map(|index| permits.unused_borrowed.swap_remove(index)) {
            permits.borrowed_in_flight += 1;
            return Some(Permit::Borrowed { lender: borrowed.lender, ticket: borrowed.ticket });
        }
        if free == 0 {
            return None;
        }
        permits.own_in_flight += 1;
        Some(Permit::Own)
    }

    /// Returns the number of this node's calls in flight at `target`, or `None` if no permit for another call is
    /// available.
    #[must_use]
    pub fn in_flight_if_available(&self, target: &TargetName, limit: u32, now: Moment) -> Option<u32> {
        let Some(permits) = self.targets.get(target) else {
            return (self.share(target, limit) > 0).then_some(0);
        };
        let share = total_share(target, &permits.ranks, &self.seats, self.total_seats, limit);
        let has_free = share > permits.own_in_flight + permits.loans.len() as u32;
        let has_borrowed = permits.unused_borrowed.iter().any(|borrowed| borrowed.start_deadline > now);
        (has_free || has_borrowed).then_some(permits.own_in_flight + permits.borrowed_in_flight)
    }

    /// Gives a permit back after its call has ended.
    pub fn return_permit(&mut self, target: &TargetName, permit: &Permit) {
        self.targets_to_recheck.insert(target.clone());
        let permits = self.targets.entry(target.clone()).or_default();
        match permit {
            Permit::Own => permits.own_in_flight = permits.own_in_flight.saturating_sub(1),
            Permit::Borrowed { .. } => {
                permits.borrowed_in_flight = permits.borrowed_in_flight.saturating_sub(1);
            }
        }
    }

    /// Lends a free permit to `borrower` until `expires_at`, and returns whether one was free.
    ///
    /// The longest call that the borrower may start under the permit has ended by `expires_at`.
    pub fn lend(
        &mut self,
        target: &TargetName,
        limit: u32,
        borrower: &NodeName,
        ticket: u64,
        expires_at: Moment,
    ) -> bool {
        if self.free_count(target, limit) == 0 {
            return false;
        }
        let loan = Loan { borrower: borrower.clone(), ticket, expires_at };
        self.targets.entry(target.clone()).or_default().loans.push(loan);
        true
    }

    /// Ends a loan whose permit the borrower returned.
    pub fn end_loan(&mut self, target: &TargetName, borrower: &NodeName, ticket: u64) {
        if let Some(permits) = self.targets.get_mut(target) {
            permits.loans.retain(|loan| loan.ticket != ticket || loan.borrower != *borrower);
            self.targets_to_recheck.insert(target.clone());
        }
    }

    /// Adds a permit that `lender` lent to this node on a request sent at `requested_at`.
    ///
    /// A call may start under the permit for `start_within` from that moment.
    pub fn add_borrowed(
        &mut self,
        target: &TargetName,
        lender: &NodeName,
        ticket: u64,
        requested_at: Moment,
        start_within: Duration,
    ) {
        let borrowed = BorrowedPermit { lender: lender.clone(), ticket, start_deadline: requested_at + start_within };
        self.targets.entry(target.clone()).or_default().unused_borrowed.push(borrowed);
        self.targets_to_recheck.insert(target.clone());
    }

    /// Ends the loans that expire at `now` or before. Removes and returns the unused borrowed permits whose start
    /// deadline has passed.
    pub fn expire_permits(&mut self, now: Moment) -> Vec<UnusedPermit> {
        let mut unused = Vec::new();
        for (target, permits) in &mut self.targets {
            let count_before = permits.loans.len();
            permits.loans.retain(|loan| loan.expires_at > now);
            if permits.loans.len() < count_before {
                self.targets_to_recheck.insert(target.clone());
            }
            for borrowed in permits.unused_borrowed.extract_if(.., |borrowed| borrowed.start_deadline <= now) {
                unused.push(UnusedPermit { target: target.clone(), lender: borrowed.lender, ticket: borrowed.ticket });
            }
        }
        unused
    }
}

/// A borrowed permit that this node did not use before its start deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusedPermit {
    /// The target that the permit is for.
    pub target: TargetName,
    /// The node that lent the permit.
    pub lender: NodeName,
    /// The number that this node gave its request for the permit.
    pub ticket: u64,
}

/// Returns the sum of the shares of `limit` at `target` that belong to `seats`. Computes each seat's rank if `ranks` is
/// missing or for another number of seats than `total`.
fn total_share(target: &TargetName, ranks: &[u32], seats: &[SeatClaim], total: u32, limit: u32) -> u32 {
    let share = |seat: u32| match ranks.get(seat as usize) {
        Some(rank) if ranks.len() == total as usize => limit / total + u32::from(*rank < limit % total),
        _ => seat_share(target, seat, total, limit),
    };
    seats.iter().map(|claim| share(claim.seat)).sum()
}

/// Returns the rank of each of `total` seats, by seat number, in the order of their hashes with `target`.
fn seat_ranks(target: &TargetName, total: u32) -> Vec<u32> {
    let mut seats: Vec<(u64, u32)> = (0..total).map(|seat| (seat_hash(target, seat), seat)).collect();
    seats.sort_unstable();
    let mut ranks = vec![0; total as usize];
    for (rank, (_, seat)) in seats.into_iter().enumerate() {
        ranks[seat as usize] = rank as u32;
    }
    ranks
}

fn seat_hash(target: &TargetName, seat: u32) -> u64 {
    stable_hash(&[target.as_str().as_bytes(), &seat.to_le_bytes()])
}

/// Returns the share of `limit` at `target` that belongs to `seat` of `total` seats, in calls in flight.
#[must_use]
pub fn seat_share(target: &TargetName, seat: u32, total: u32, limit: u32) -> u32 {
    if total == 0 || seat >= total {
        return 0;
    }
    let remainder = limit % total;
    let order = |seat: u32| (seat_hash(target, seat), seat);
    let rank = (0..total).filter(|other| order(*other) < order(seat)).count() as u32;
    limit / total + u32::from(rank < remainder)
}
