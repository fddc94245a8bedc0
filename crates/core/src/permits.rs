//! Rights to call targets, such that the sum over all nodes stays within each target's limit.
//!
//! An environment has a fixed number of seats. Each seat carries a fixed share of every target's
//! limit: the limit divided by the seats, the remainder dealt out by a hash of target and seat. A
//! node uses only the shares of seats that it holds, and may lend single permits to peers; what it
//! lends, it does not use until it is returned or must have ended. So the sum holds whatever nodes
//! believe of each other, and needs no agreement while the seats stay where they are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::document::Document;
use crate::message::SeatClaim;
use crate::names::{NodeName, TargetName, stable_hash};

/// The permit that an attempt runs under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// From this node's own share.
    Own,
    /// Borrowed from a peer.
    Borrowed {
        /// Who lent it.
        lender: NodeName,
        /// The question that it answers.
        ticket: u64,
    },
}

/// One permit lent to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Loan {
    borrower: NodeName,
    ticket: u64,
    ends: Moment,
}

/// A permit borrowed and not yet used.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Credit {
    lender: NodeName,
    ticket: u64,
    start_until: Moment,
}

#[derive(Clone, Debug, Default)]
struct TargetPermits {
    own_in_flight: u32,
    borrowed_in_flight: u32,
    loans: Vec<Loan>,
    credits: Vec<Credit>,
    /// Place of each seat in this target's order of seats: the first ones get the remainder.
    ranks: Vec<u32>,
}

/// Permits by target, and the seats that this node holds.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    /// Seats that this node's rows stand for, in use or not yet or not any more, as told to peers.
    pub announced: Vec<SeatClaim>,
    seats: Vec<SeatClaim>,
    seats_total: u32,
    targets: BTreeMap<TargetName, TargetPermits>,
    /// Targets of which something may have become free since the index of ready targets looked.
    changed: BTreeSet<TargetName>,
    all_changed: bool,
}

impl PermitTable {
    /// Works out the order of seats at each target of a new document.
    pub fn install(&mut self, document: &Document) {
        for target in document.targets.keys() {
            let permits = self.targets.entry(target.clone()).or_default();
            if permits.ranks.len() != document.seats as usize {
                permits.ranks = seat_ranks(target, document.seats);
            }
        }
        self.all_changed = true;
    }

    /// Whether something changed for all targets since the last question.
    pub fn take_all_changed(&mut self) -> bool {
        std::mem::take(&mut self.all_changed)
    }

    /// Notes that the limit of a target rose.
    pub fn note_raised(&mut self, target: &TargetName) {
        self.changed.insert(target.clone());
    }

    /// A target of which something may have become free since it was last named here.
    pub fn pop_changed(&mut self) -> Option<TargetName> {
        self.changed.pop_first()
    }

    /// Says how many seats there are and which ones this node holds.
    pub fn set_seats(&mut self, total: u32, seats: Vec<SeatClaim>) {
        if total == self.seats_total && seats == self.seats {
            return;
        }
        self.all_changed = true;
        self.seats_total = total;
        self.seats = seats;
    }

    /// Seats that this node holds.
    #[must_use]
    pub fn seats(&self) -> &[SeatClaim] {
        &self.seats
    }

    /// Share of `limit` at `target` that this node's seats carry.
    #[must_use]
    pub fn share(&self, target: &TargetName, limit: u32) -> u32 {
        self.share_of(target, &self.seats, limit)
    }

    /// Share of `limit` at `target` that the seats of any node carry.
    #[must_use]
    pub fn share_of(&self, target: &TargetName, seats: &[SeatClaim], limit: u32) -> u32 {
        let ranks = self.targets.get(target).map_or(&[][..], |permits| &permits.ranks);
        seats_share(target, ranks, seats, self.seats_total, limit)
    }

    /// Calls of this node that run at `target`.
    #[must_use]
    pub fn in_flight(&self, target: &TargetName) -> u32 {
        self.targets.get(target).map_or(0, |permits| permits.own_in_flight + permits.borrowed_in_flight)
    }

    /// Whether all calls and loans are within the shares of the seats held now; `limit` is that of a target.
    #[must_use]
    pub fn fits(&self, limit: impl Fn(&TargetName) -> u32) -> bool {
        self.targets.iter().all(|(target, permits)| {
            let used = permits.own_in_flight + permits.loans.len() as u32;
            used == 0 || used <= self.share(target, limit(target))
        })
    }

    /// Own permits that are free.
    #[must_use]
    pub fn free(&self, target: &TargetName, limit: u32) -> u32 {
        let Some(permits) = self.targets.get(target) else { return self.share(target, limit) };
        let share = seats_share(target, &permits.ranks, &self.seats, self.seats_total, limit);
        share.saturating_sub(permits.own_in_flight + permits.loans.len() as u32)
    }

    /// Takes a permit: a borrowed one first, as it runs out, then an own one.
    pub fn take(&mut self, target: &TargetName, limit: u32, now: Moment) -> Option<Permit> {
        let free = self.free(target, limit);
        let permits = self.targets.entry(target.clone()).or_default();
        let usable = permits.credits.iter().position(|credit| credit.start_until > now);
        if let Some(credit) = usable.map(|index| permits.credits.swap_remove(index)) {
            permits.borrowed_in_flight += 1;
            return Some(Permit::Borrowed { lender: credit.lender, ticket: credit.ticket });
        }
        if free == 0 {
            return None;
        }
        permits.own_in_flight += 1;
        Some(Permit::Own)
    }

    /// Calls of this node that run at `target`, if another one may start there.
    #[must_use]
    pub fn usable(&self, target: &TargetName, limit: u32, now: Moment) -> Option<u32> {
        let Some(permits) = self.targets.get(target) else {
            return (self.share(target, limit) > 0).then_some(0);
        };
        let share = seats_share(target, &permits.ranks, &self.seats, self.seats_total, limit);
        let free = share > permits.own_in_flight + permits.loans.len() as u32;
        let borrowed = permits.credits.iter().any(|credit| credit.start_until > now);
        (free || borrowed).then_some(permits.own_in_flight + permits.borrowed_in_flight)
    }

    /// Gives a permit back after its call has ended.
    pub fn give_back(&mut self, target: &TargetName, permit: &Permit) {
        self.changed.insert(target.clone());
        let permits = self.targets.entry(target.clone()).or_default();
        match permit {
            Permit::Own => permits.own_in_flight = permits.own_in_flight.saturating_sub(1),
            Permit::Borrowed { .. } => {
                permits.borrowed_in_flight = permits.borrowed_in_flight.saturating_sub(1);
            }
        }
    }

    /// Lends a free permit to `borrower`, who must start within `start_within`; it is taken back into
    /// use once the longest call that could run under it has ended.
    pub fn lend(&mut self, target: &TargetName, limit: u32, borrower: &NodeName, ticket: u64, ends: Moment) -> bool {
        if self.free(target, limit) == 0 {
            return false;
        }
        let loan = Loan { borrower: borrower.clone(), ticket, ends };
        self.targets.entry(target.clone()).or_default().loans.push(loan);
        true
    }

    /// Ends a loan that was returned.
    pub fn end_loan(&mut self, target: &TargetName, borrower: &NodeName, ticket: u64) {
        if let Some(permits) = self.targets.get_mut(target) {
            permits.loans.retain(|loan| loan.ticket != ticket || loan.borrower != *borrower);
            self.changed.insert(target.clone());
        }
    }

    /// Notes a permit that was borrowed at the moment the question was `asked`.
    pub fn borrow(
        &mut self,
        target: &TargetName,
        lender: &NodeName,
        ticket: u64,
        asked: Moment,
        start_within: Duration,
    ) {
        let credit = Credit { lender: lender.clone(), ticket, start_until: asked + start_within };
        self.targets.entry(target.clone()).or_default().credits.push(credit);
        self.changed.insert(target.clone());
    }

    /// Ends loans that have run out, and gives back the unused permits whose time to start has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<UnusedPermit> {
        let mut unused = Vec::new();
        for (target, permits) in &mut self.targets {
            let loans = permits.loans.len();
            permits.loans.retain(|loan| loan.ends > now);
            if permits.loans.len() < loans {
                self.changed.insert(target.clone());
            }
            for credit in permits.credits.extract_if(.., |credit| credit.start_until <= now) {
                unused.push(UnusedPermit { target: target.clone(), lender: credit.lender, ticket: credit.ticket });
            }
        }
        unused
    }
}

/// A borrowed permit that was not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusedPermit {
    /// The target.
    pub target: TargetName,
    /// Who lent it.
    pub lender: NodeName,
    /// The question that it answered.
    pub ticket: u64,
}

fn seats_share(target: &TargetName, ranks: &[u32], seats: &[SeatClaim], total: u32, limit: u32) -> u32 {
    let share = |seat: u32| match ranks.get(seat as usize) {
        Some(rank) if ranks.len() == total as usize => limit / total + u32::from(*rank < limit % total),
        _ => seat_share(target, seat, total, limit),
    };
    seats.iter().map(|claim| share(claim.seat)).sum()
}

/// Place of each of `total` seats in the order of seats at `target`.
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

/// Share of `limit` at `target` that belongs to `seat` of `total`.
#[must_use]
pub fn seat_share(target: &TargetName, seat: u32, total: u32, limit: u32) -> u32 {
    if total == 0 || seat >= total {
        return 0;
    }
    let rest = limit % total;
    let order = |seat: u32| (seat_hash(target, seat), seat);
    let rank = (0..total).filter(|other| order(*other) < order(seat)).count() as u32;
    limit / total + u32::from(rank < rest)
}
