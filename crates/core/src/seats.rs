//! Acquires free seats in the table service, releases seats to peers that have none, and takes over the seats of VMs
//! that no longer exist.
//!
//! A seat is the right of one node to a fixed share of every target's limit. An environment has a fixed number of
//! seats, and the table service has one row for each, which names the holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{IntervalTimer, Moment};
use crate::controller::Controller;
use crate::event::Event;
use crate::members::{Member, VmListing};
use crate::message::{Heartbeat, NodeState, PeerMessage, SeatClaim};
use crate::names::{NodeName, TargetName};
use crate::store::{Row, RowKey, RowValue, RowVersion, SeatRow, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// The state of a seat whose row names this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SeatState {
    /// The row names this node, which uses the seat from this moment on, when all calls of earlier holders have ended.
    Pending(Moment),
    /// This node uses the seat.
    Held,
    /// This node no longer uses the seat. Its row may be marked as free from this moment on, when all calls under the
    /// seat have ended, or earlier if this node's calls and loans fit its other seats.
    Releasing(Moment),
}

/// A seat whose row in the table service names this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnSeat {
    epoch: u64,
    version: RowVersion,
    state: SeatState,
}

/// Acquires seats for this node, takes over those of nodes that are gone, and releases surplus ones.
#[derive(Debug, Default)]
pub struct SeatController {
    /// Seats whose rows name this instance of the node, by number.
    own_seats: BTreeMap<u32, OwnSeat>,
    /// Nodes that the platform's VM list lacks, with the time at which each was first found missing.
    missing_since: BTreeMap<NodeName, Moment>,
    /// Nodes in the platform's last VM list; empty before the first list.
    listed_nodes: Vec<NodeName>,
    /// Earliest time of the next read of a seat's row.
    next_read_at: Moment,
    tick_timer: IntervalTimer,
    /// Number of the seat at which the search for the next unclaimed seat starts.
    next_seat: u32,
    /// Earliest time at which a seat is next released to a peer that has none.
    next_release_at: Moment,
    /// Seats with a write whose reply was lost and that may still take effect. Before such a seat is used, another
    /// write supersedes the lost one.
    uncertain_writes: BTreeSet<u32>,
}

impl SeatController {
    /// Interval at which the states of seats are advanced.
    const TICK_INTERVAL: Duration = Duration::from_millis(100);
    /// Interval between reads of seats that no node announces, while this node has fewer seats than its fair count.
    const READ_INTERVAL: Duration = Duration::from_millis(500);
    /// Interval between reads of unannounced seats while this node has enough seats. Reads go on because a row may
    /// still name an earlier instance of this node.
    const RECHECK_INTERVAL: Duration = Duration::from_secs(5);
    /// Time for which a VM must be missing from the platform's list before its seat is taken over. Also the silence up
    /// to which a peer that is not alive counts for the fair number of seats.
    const MISSING_TIMEOUT: Duration = Duration::from_secs(10);
    /// Time added to the longest call and the lending period, after which all calls of a seat's previous holder have
    /// ended.
    const CALL_END_MARGIN: Duration = Duration::from_secs(2);

    /// Returns the time after which all calls of a seat's previous holder have ended.
    fn hand_over_delay(board: &Blackboard) -> Duration {
        board.tuning.max_call_duration + board.tuning.borrowed_permit_timeout + Self::CALL_END_MARGIN
    }

    /// Returns this node's fair number of seats: all seats divided by the number of nodes, rounded up so that none
    /// stays free.
    ///
    /// Nodes that leave do not count. Live nodes count, and so do others within `MISSING_TIMEOUT` of their last
    /// heartbeat, or of the start of this node's clock if they sent none. Otherwise this node would acquire seats that
    /// it must release as soon as heartbeats of the other nodes arrive.
    fn fair_seat_count(board: &Blackboard) -> u32 {
        let is_counted = |member: &Member| match &member.heartbeat {
            Some(beat) if member.is_alive => beat.state != NodeState::Leaving,
            _ => {
                member.listing != VmListing::Leaving
                    && board.now.since(member.last_heartbeat_at) < Self::MISSING_TIMEOUT
            }
        };
        let node_count = 1 + board.members.iter().filter(|(_, member)| is_counted(member)).count() as u32;
        board.document.content.seats.div_ceil(node_count)
    }

    fn handle_tick(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.advance_seat_states(board, out);
        if board.state == NodeState::Leaving {
            return;
        }
        self.release_surplus(board);
        self.read_unclaimed_seat(board, out);
    }

    /// Starts to use acquired seats that are due, frees released ones that are due, and publishes the seats in use.
    fn advance_seat_states(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let now = board.now;
        for own in self.own_seats.values_mut() {
            if matches!(own.state, SeatState::Pending(usable_at) if usable_at <= now) {
                own.state = SeatState::Held;
            }
        }
        self.publish_seats(board);
        let is_within_shares = Self::is_within_shares(board);
        let drained: Vec<u32> = self
            .own_seats
            .iter()
            .filter(|(_, own)| matches!(own.state, SeatState::Releasing(free_at) if is_within_shares || free_at <= now))
            .map(|(seat, _)| *seat)
            .collect();
        for seat in drained {
            self.write_free_row(board, seat, out);
        }
        self.publish_seats(board);
    }

    /// Copies the total number of seats, the seats in use and the seats to announce to the permit table.
    fn publish_seats(&self, board: &mut Blackboard) {
        let to_claim = |(seat, own): (&u32, &OwnSeat)| SeatClaim { seat: *seat, epoch: own.epoch };
        let held = self.own_seats.iter().filter(|(_, own)| own.state == SeatState::Held).map(to_claim).collect();
        board.permits.set_seats(board.document.content.seats, held);
        // A seat is announced before it is used, so that a previous holder that is still alive gives it up in time.
        board.permits.announced_seats = self.own_seats.iter().map(to_claim).collect();
    }

    /// Forgets an own seat and marks it as free by writing its row without an owner.
    fn write_free_row(&mut self, board: &mut Blackboard, seat: u32, out: &mut Vec<Action>) {
        let Some(own) = self.own_seats.remove(&seat) else { return };
        let instance = board.identity.instance;
        let row = SeatRow { owner: NodeName::new(""), instance, epoch: own.epoch, is_drained: true };
        write_row(board, seat, Some(own.version), row, out);
    }

    /// Stops using the held seats beyond the fair count, those with the highest numbers first. Stops using at least
    /// one, but at most once per hand-over, if a serving peer has none. Keeps at least one held seat.
    fn release_surplus(&mut self, board: &Blackboard) {
        let held_count = self.own_seats.values().filter(|own| own.state == SeatState::Held).count() as u32;
        let lacks_seats = |beat: &Heartbeat| beat.seats.is_empty() && beat.state == NodeState::Serving;
        let peers_without_seats = board.members.alive().filter(|(_, beat)| lacks_seats(beat)).count() as u32;
        let min_surplus = u32::from(peers_without_seats > 0 && board.now >= self.next_release_at);
        let surplus =
            held_count.saturating_sub(Self::fair_seat_count(board)).max(min_surplus).min(held_count.saturating_sub(1));
        if surplus == 0 {
            return;
        }
        let delay = Self::hand_over_delay(board);
        self.next_release_at = board.now + delay;
        let held = self.own_seats.values_mut().rev().filter(|own| own.state == SeatState::Held);
        for own in held.take(surplus as usize) {
            own.state = SeatState::Releasing(board.now + delay);
        }
    }

    /// Returns whether this node's calls and loans fit the shares of the seats that it still uses, so that none depends
    /// on a seat that is being released.
    fn is_within_shares(board: &Blackboard) -> bool {
        let limit =
            |target: &TargetName| board.targets.get(target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
        board.permits.is_within_shares(limit)
    }

    /// Reads the row of the next seat that no node is known to hold, if a read is due.
    fn read_unclaimed_seat(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let total = board.document.content.seats;
        if total == 0 || board.now < self.next_read_at || !board.store.is_backoff_over(board.now) {
            return;
        }
        // Seats are read one at a time: a node that acquires several at once withholds them from others for a whole
        // hand-over.
        if self.next_seat > 0 && Self::has_pending_op(board, self.next_seat - 1) {
            return;
        }
        let first = self.next_seat;
        let seat =
            (0..total).map(|step| (first + step) % total).find(|seat| !self.is_announced_or_pending(board, *seat));
        let Some(seat) = seat else { return };
        // A node without seats reads all of them without a pause.
        self.next_read_at = board.now
            + match self.own_seats.len() as u32 {
                0 if seat + 1 < total => Duration::ZERO,
                own_count if own_count < Self::fair_seat_count(board) => Self::READ_INTERVAL,
                _ => Self::RECHECK_INTERVAL,
            };
        self.next_seat = seat + 1;
        let op = StoreOp::Read { key: RowKey::Seat(seat) };
        board.store.send(StorePurpose::ReadSeat(seat), op, &mut board.counters, out);
    }

    /// Returns whether the row of a seat needs no read: a node announces the seat, or an operation on the row is open.
    fn is_announced_or_pending(&self, board: &Blackboard, seat: u32) -> bool {
        let announces = |beat: &Heartbeat| beat.seats.iter().any(|claim| claim.seat == seat);
        self.own_seats.contains_key(&seat)
            || board.members.alive().any(|(_, beat)| announces(beat))
            || Self::has_pending_op(board, seat)
    }

    fn has_pending_op(board: &Blackboard, seat: u32) -> bool {
        let store = &board.store;
        store.is_open(&StorePurpose::ReadSeat(seat)) || store.is_open(&StorePurpose::WriteSeat(seat))
    }

    /// Handles the row of a seat that was read. Records the seat if the row names this instance. Otherwise takes the
    /// seat if this node lacks seats and may have it.
    fn handle_row(&mut self, board: &mut Blackboard, seat: u32, row: Option<&Row>, out: &mut Vec<Action>) {
        let own_row = SeatRow {
            owner: board.identity.node.clone(),
            instance: board.identity.instance,
            epoch: 1,
            is_drained: true,
        };
        let Some(row) = row else { return write_row(board, seat, None, own_row, out) };
        let RowValue::Seat(stored) = &row.value else { return };
        let is_mine = stored.owner == own_row.owner && stored.instance == own_row.instance;
        if is_mine && self.uncertain_writes.remove(&seat) {
            return write_row(board, seat, Some(row.version), stored.clone(), out);
        }
        if is_mine {
            self.record_own_seat(board, seat, stored, row.version);
            return;
        }
        if !self.listed_nodes.is_empty() && !self.listed_nodes.contains(&stored.owner) {
            // The owner's VM may have been removed before this node started, so that no list showed the removal.
            self.missing_since.entry(stored.owner.clone()).or_insert(board.now);
        }
        let is_drained = stored.is_drained && stored.owner.as_str().is_empty();
        let has_enough = self.own_seats.len() as u32 >= Self::fair_seat_count(board);
        if has_enough && stored.owner == own_row.owner {
            // The seat of this node's earlier instance is surplus. It is freed here, as only this node knows for
            // certain that the earlier instance has ended.
            let free = SeatRow { owner: NodeName::new(""), epoch: stored.epoch, is_drained: false, ..own_row };
            write_row(board, seat, Some(row.version), free, out);
        } else if !has_enough && self.may_take_over(board, stored) {
            write_row(board, seat, Some(row.version), SeatRow { epoch: stored.epoch + 1, is_drained, ..own_row }, out);
        }
    }

    /// Returns whether this node may take a seat: no node owns it, an earlier instance of this node does, or the owner
    /// is not alive and its VM has been missing for `MISSING_TIMEOUT`.
    fn may_take_over(&self, board: &Blackboard, stored: &SeatRow) -> bool {
        let is_free = stored.owner.as_str().is_empty();
        let is_earlier_self = stored.owner == board.identity.node;
        let member = board.members.get(&stored.owner);
        let is_missing =
            self.missing_since.get(&stored.owner).is_some_and(|since| board.now.since(*since) >= Self::MISSING_TIMEOUT);
        let is_silent = member.is_none_or(|member| !member.is_alive);
        is_free || is_earlier_self || (is_missing && is_silent)
    }

    /// Records a seat whose row names this instance, to be used at once if the row is drained and after the hand-over
    /// delay otherwise.
    fn record_own_seat(&mut self, board: &Blackboard, seat: u32, stored: &SeatRow, version: RowVersion) {
        let delay = if stored.is_drained { Duration::ZERO } else { Self::hand_over_delay(board) };
        let state = SeatState::Pending(board.now + delay);
        self.own_seats.insert(seat, OwnSeat { epoch: stored.epoch, version, state });
    }

    /// Forgets the seats that the sender of a heartbeat holds under a higher epoch: it has taken them over.
    fn forget_lost_seats(&mut self, beat: &Heartbeat) {
        for claim in &beat.seats {
            let is_lost = self.own_seats.get(&claim.seat).is_some_and(|own| own.epoch < claim.epoch);
            if is_lost {
                self.own_seats.remove(&claim.seat);
            }
        }
    }

    /// Updates the nodes that are missing from the platform's VM list, which now holds `names`.
    fn handle_vm_list(&mut self, board: &Blackboard, names: Vec<NodeName>) {
        let now = board.now;
        for name in &names {
            self.missing_since.remove(name);
        }
        for name in self.listed_nodes.iter().filter(|name| !names.contains(name)) {
            self.missing_since.entry(name.clone()).or_insert(now);
        }
        for (name, member) in board.members.iter() {
            if !names.contains(name) && !member.is_alive {
                self.missing_since.entry(name.clone()).or_insert(now);
            }
        }
        self.listed_nodes = names;
    }
}

impl Controller for SeatController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if self.tick_timer.is_due(Self::TICK_INTERVAL, board.now) => self.handle_tick(board, out),
            Event::Peer(_, message) => {
                if let PeerMessage::Heartbeat(beat) = &**message {
                    self.forget_lost_seats(beat);
                    self.publish_seats(board);
                }
            }
            Event::VmsListed(entries) => {
                let names = entries.iter().map(|entry| entry.node.clone()).collect();
                self.handle_vm_list(board, names);
            }
            _ => {}
        }
    }

    /// Forgets this node's seats: other nodes may have taken them during the pause, so each row is read again before
    /// use.
    fn on_pause(&mut self, board: &mut Blackboard) {
        self.own_seats.clear();
        self.publish_seats(board);
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        if let (StorePurpose::WriteSeat(seat), StoreReply::Lost) = (purpose, reply) {
            self.uncertain_writes.insert(*seat);
        }
        match (purpose, reply) {
            (StorePurpose::ReadSeat(seat), StoreReply::Read(row)) => self.handle_row(board, *seat, row.as_ref(), out),
            // The row is read back after a write that succeeded or whose reply was lost: only the row says who holds
            // the seat. After a conflict, the search for unclaimed seats reads it again.
            (StorePurpose::WriteSeat(seat), StoreReply::Written(_) | StoreReply::Lost) => {
                let op = StoreOp::Read { key: RowKey::Seat(*seat) };
                board.store.send(StorePurpose::ReadSeat(*seat), op, &mut board.counters, out);
            }
            _ => {}
        }
        self.publish_seats(board);
    }
}

/// Sends a write of a seat's row, on condition that the stored version is `expected`.
fn write_row(board: &mut Blackboard, seat: u32, expected: Option<RowVersion>, row: SeatRow, out: &mut Vec<Action>) {
    let op = StoreOp::Write { key: RowKey::Seat(seat), expected, value: RowValue::Seat(row) };
    board.store.send(StorePurpose::WriteSeat(seat), op, &mut board.counters, out);
}
