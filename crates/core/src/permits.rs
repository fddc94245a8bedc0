//! Rights to call targets, such that the sum over all nodes stays within each target's limit.
//!
//! An environment has a fixed number of seats. Each seat carries a fixed share of every target's
//! limit: the limit divided by the seats, the remainder dealt out by a hash of target and seat. A
//! node uses only the shares of seats that it holds, and may lend single permits to peers; what it
//! lends, it does not use until it is returned or must have ended. So the sum holds whatever nodes
//! believe of each other, and needs no agreement while the seats stay where they are.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
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
}

/// Permits by target, and the seats that this node holds.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    seats: Vec<SeatClaim>,
    seats_total: u32,
    targets: BTreeMap<TargetName, TargetPermits>,
}

impl PermitTable {
    /// Says how many seats there are and which ones this node holds.
    pub fn set_seats(&mut self, total: u32, seats: Vec<SeatClaim>) {
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
        self.seats.iter().map(|claim| seat_share(target, claim.seat, self.seats_total, limit)).sum()
    }

    /// Calls of this node that run at `target`.
    #[must_use]
    pub fn in_flight(&self, target: &TargetName) -> u32 {
        self.targets.get(target).map_or(0, |permits| permits.own_in_flight + permits.borrowed_in_flight)
    }

    /// Own permits that are free.
    #[must_use]
    pub fn free(&self, target: &TargetName, limit: u32) -> u32 {
        let share = self.share(target, limit);
        let Some(permits) = self.targets.get(target) else { return share };
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

    /// Whether a permit could be taken.
    #[must_use]
    pub fn has(&self, target: &TargetName, limit: u32, now: Moment) -> bool {
        let credits = self.targets.get(target).map_or(&[][..], |permits| &permits.credits);
        credits.iter().any(|credit| credit.start_until > now) || self.free(target, limit) > 0
    }

    /// Gives a permit back after its call has ended.
    pub fn give_back(&mut self, target: &TargetName, permit: &Permit) {
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
    }

    /// Ends loans that have run out, and gives back the unused permits whose time to start has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<UnusedPermit> {
        let mut unused = Vec::new();
        for (target, permits) in &mut self.targets {
            permits.loans.retain(|loan| loan.ends > now);
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

/// Share of `limit` at `target` that belongs to `seat` of `total`.
#[must_use]
pub fn seat_share(target: &TargetName, seat: u32, total: u32, limit: u32) -> u32 {
    if total == 0 || seat >= total {
        return 0;
    }
    let rest = limit % total;
    let order = |seat: u32| (stable_hash(&[target.as_str().as_bytes(), &seat.to_le_bytes()]), seat);
    let rank = (0..total).filter(|other| order(*other) < order(seat)).count() as u32;
    limit / total + u32::from(rank < rest)
}
