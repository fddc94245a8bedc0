//! Holds seats in the table service: takes free ones, yields to peers without, takes over those of VMs that are gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{Moment, TickPace};
use crate::controller::Controller;
use crate::event::Event;
use crate::members::{Member, VmListing};
use crate::message::{Heartbeat, NodeState, PeerMessage, SeatClaim};
use crate::names::{NodeName, TargetName};
use crate::store::{Row, RowKey, RowValue, RowVersion, SeatRow, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// A seat on its way to or from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SeatState {
    /// Written, and used from this moment on, when calls of the last holder have ended.
    Settling(Moment),
    /// In use.
    Held,
    /// Not used any more; free from this moment on, when calls under it have ended.
    Yielding(Moment),
}

/// A seat of which this node's row stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnSeat {
    epoch: u64,
    version: RowVersion,
    state: SeatState,
}

/// Takes and yields seats.
#[derive(Debug, Default)]
pub struct SeatController {
    own: BTreeMap<u32, OwnSeat>,
    /// Nodes that the platform's list does not name, and since when.
    gone: BTreeMap<NodeName, Moment>,
    listed: Vec<NodeName>,
    look_at: Moment,
    pace: TickPace,
    next_seat: u32,
    yield_after: Moment,
    /// Seats of which a write may still take effect: it is outrun by another before the seat is used.
    doubtful: BTreeSet<u32>,
}

impl SeatController {
    /// Interval at which seats are moved on.
    const TICK_EVERY: Duration = Duration::from_millis(100);
    /// Interval between looks at seats that nobody announces.
    const LOOK_EVERY: Duration = Duration::from_millis(500);
    /// The same while this node has enough: a row may still name an earlier instance of it.
    const LOOK_AGAIN_EVERY: Duration = Duration::from_secs(5);
    /// Time that a VM must be missing from the platform's list before its seat is taken over.
    const GONE_FOR: Duration = Duration::from_secs(10);
    /// Time beyond the longest call until calls of a seat's last holder have surely ended.
    const SETTLE_MARGIN: Duration = Duration::from_secs(2);

    fn settle_span(board: &Blackboard) -> Duration {
        board.tuning.longest_call + board.tuning.lend_for + Self::SETTLE_MARGIN
    }

    /// Seats that this node should hold at most, so that each live node can have one and none stays free.
    ///
    /// Nodes that were heard a moment ago count, and so do known ones while this node has just started:
    /// it would else take what it must yield as soon as it hears them.
    fn fair_count(board: &Blackboard) -> u32 {
        let counts = |member: &Member| match &member.heartbeat {
            Some(beat) if member.alive => beat.state != NodeState::Leaving,
            _ => member.listing != VmListing::Leaving && board.now.since(member.heard) < Self::GONE_FOR,
        };
        let nodes = 1 + board.members.iter().filter(|(_, member)| counts(member)).count() as u32;
        board.document.content.seats.div_ceil(nodes)
    }

    fn on_tick(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.advance(board, out);
        if board.state == NodeState::Leaving {
            return;
        }
        self.yield_surplus(board);
        self.look(board, out);
    }

    /// Moves settling and yielding seats on, and publishes the ones in use.
    fn advance(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let now = board.now;
        for own in self.own.values_mut() {
            if matches!(own.state, SeatState::Settling(from) if from <= now) {
                own.state = SeatState::Held;
            }
        }
        self.publish(board);
        let rested = Self::is_rested(board);
        let done: Vec<u32> = self
            .own
            .iter()
            .filter(|(_, own)| matches!(own.state, SeatState::Yielding(from) if rested || from <= now))
            .map(|(seat, _)| *seat)
            .collect();
        for seat in done {
            self.free(board, seat, out);
        }
        self.publish(board);
    }

    fn publish(&self, board: &mut Blackboard) {
        let claim = |(seat, own): (&u32, &OwnSeat)| SeatClaim { seat: *seat, epoch: own.epoch };
        let held = self.own.iter().filter(|(_, own)| own.state == SeatState::Held).map(claim).collect();
        board.permits.set_seats(board.document.content.seats, held);
        // Told before it is used: a last holder that lives after all gives the seat up in time.
        board.permits.announced = self.own.iter().map(claim).collect();
    }

    /// Writes a seat as free: its row names nobody.
    fn free(&mut self, board: &mut Blackboard, seat: u32, out: &mut Vec<Action>) {
        let Some(own) = self.own.remove(&seat) else { return };
        let instance = board.identity.instance;
        let row = SeatRow { owner: NodeName::new(""), instance, epoch: own.epoch, rested: true };
        write(board, seat, Some(own.version), row, out);
    }

    /// Stops to use the seats beyond the fair count, or one for each peer that has none.
    fn yield_surplus(&mut self, board: &Blackboard) {
        let held = self.own.values().filter(|own| own.state == SeatState::Held).count() as u32;
        let starved = |beat: &Heartbeat| beat.seats.is_empty() && beat.state == NodeState::Serving;
        let starved = board.members.alive().filter(|(_, beat)| starved(beat)).count() as u32;
        let wanted = u32::from(starved > 0 && board.now >= self.yield_after);
        let surplus = held.saturating_sub(Self::fair_count(board)).max(wanted).min(held.saturating_sub(1));
        if surplus == 0 {
            return;
        }
        let span = Self::settle_span(board);
        self.yield_after = board.now + span;
        let held = self.own.values_mut().rev().filter(|own| own.state == SeatState::Held);
        for own in held.take(surplus as usize) {
            own.state = SeatState::Yielding(board.now + span);
        }
    }

    /// Whether no call runs under a share that this node does not use any more.
    fn is_rested(board: &Blackboard) -> bool {
        let limit =
            |target: &TargetName| board.targets.get(target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
        board.permits.fits(limit)
    }

    /// Looks at one seat that nobody is known to hold.
    fn look(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let total = board.document.content.seats;
        if total == 0 || board.now < self.look_at || !board.store.may_ask(board.now) {
            return;
        }
        // One seat at a time: a node that takes several at once keeps them from others for a whole hand-over.
        if self.next_seat > 0 && Self::is_asked(board, self.next_seat - 1) {
            return;
        }
        let first = self.next_seat;
        let seat = (0..total).map(|step| (first + step) % total).find(|seat| !self.is_taken(board, *seat));
        let Some(seat) = seat else { return };
        // Without any seat all are looked at in a row.
        self.look_at = board.now
            + match self.own.len() as u32 {
                0 if seat + 1 < total => Duration::ZERO,
                held if held < Self::fair_count(board) => Self::LOOK_EVERY,
                _ => Self::LOOK_AGAIN_EVERY,
            };
        self.next_seat = seat + 1;
        let op = StoreOp::Read { key: RowKey::Seat(seat) };
        board.store.send(StorePurpose::ReadSeat(seat), op, &mut board.counters, out);
    }

    fn is_taken(&self, board: &Blackboard, seat: u32) -> bool {
        let announces = |beat: &Heartbeat| beat.seats.iter().any(|claim| claim.seat == seat);
        self.own.contains_key(&seat)
            || board.members.alive().any(|(_, beat)| announces(beat))
            || Self::is_asked(board, seat)
    }

    fn is_asked(board: &Blackboard, seat: u32) -> bool {
        let store = &board.store;
        store.is_open(&StorePurpose::ReadSeat(seat)) || store.is_open(&StorePurpose::WriteSeat(seat))
    }

    fn on_row(&mut self, board: &mut Blackboard, seat: u32, row: Option<&Row>, out: &mut Vec<Action>) {
        let own =
            SeatRow { owner: board.identity.node.clone(), instance: board.identity.instance, epoch: 1, rested: true };
        let Some(row) = row else { return write(board, seat, None, own, out) };
        let RowValue::Seat(standing) = &row.value else { return };
        let is_mine = standing.owner == own.owner && standing.instance == own.instance;
        if is_mine && self.doubtful.remove(&seat) {
            return write(board, seat, Some(row.version), standing.clone(), out);
        }
        if is_mine {
            self.hold(board, seat, standing, row.version);
            return;
        }
        if !self.listed.is_empty() && !self.listed.contains(&standing.owner) {
            // Its VM may have gone before this node started.
            self.gone.entry(standing.owner.clone()).or_insert(board.now);
        }
        let rested = standing.rested && standing.owner.as_str().is_empty();
        let enough = self.own.len() as u32 >= Self::fair_count(board);
        if enough && standing.owner == own.owner {
            // Only this node knows for sure that its earlier instance is gone.
            let free = SeatRow { owner: NodeName::new(""), epoch: standing.epoch, rested: false, ..own };
            write(board, seat, Some(row.version), free, out);
        } else if !enough && self.may_take_over(board, standing) {
            write(board, seat, Some(row.version), SeatRow { epoch: standing.epoch + 1, rested, ..own }, out);
        }
    }

    fn may_take_over(&self, board: &Blackboard, standing: &SeatRow) -> bool {
        let free = standing.owner.as_str().is_empty();
        let replaced = standing.owner == board.identity.node;
        let known = board.members.get(&standing.owner);
        let gone = self.gone.get(&standing.owner).is_some_and(|since| board.now.since(*since) >= Self::GONE_FOR);
        let silent = known.is_none_or(|member| !member.alive);
        free || replaced || (gone && silent)
    }

    fn hold(&mut self, board: &Blackboard, seat: u32, standing: &SeatRow, version: RowVersion) {
        let span = if standing.rested { Duration::ZERO } else { Self::settle_span(board) };
        let state = SeatState::Settling(board.now + span);
        self.own.insert(seat, OwnSeat { epoch: standing.epoch, version, state });
    }

    fn on_heartbeat(&mut self, beat: &Heartbeat) {
        for claim in &beat.seats {
            let lost = self.own.get(&claim.seat).is_some_and(|own| own.epoch < claim.epoch);
            if lost {
                self.own.remove(&claim.seat);
            }
        }
    }

    fn on_list(&mut self, board: &Blackboard, names: Vec<NodeName>) {
        let now = board.now;
        for name in &names {
            self.gone.remove(name);
        }
        for name in self.listed.iter().filter(|name| !names.contains(name)) {
            self.gone.entry(name.clone()).or_insert(now);
        }
        for (name, member) in board.members.iter() {
            if !names.contains(name) && !member.alive {
                self.gone.entry(name.clone()).or_insert(now);
            }
        }
        self.listed = names;
    }
}

impl Controller for SeatController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if self.pace.is_due(Self::TICK_EVERY, board.now) => self.on_tick(board, out),
            Event::Peer(_, message) => {
                if let PeerMessage::Heartbeat(beat) = &**message {
                    self.on_heartbeat(beat);
                    self.publish(board);
                }
            }
            Event::VmsListed(entries) => {
                let names = entries.iter().map(|entry| entry.node.clone()).collect();
                self.on_list(board, names);
            }
            _ => {}
        }
    }

    /// Others may have taken the seats meanwhile: each is looked at again before use.
    fn on_pause(&mut self, board: &mut Blackboard) {
        self.own.clear();
        self.publish(board);
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        if let (StorePurpose::WriteSeat(seat), StoreReply::Lost) = (purpose, reply) {
            self.doubtful.insert(*seat);
        }
        match (purpose, reply) {
            (StorePurpose::ReadSeat(seat), StoreReply::Read(row)) => self.on_row(board, *seat, row.as_ref(), out),
            // Written, lost or beaten: the row itself tells who holds the seat.
            (StorePurpose::WriteSeat(seat), StoreReply::Written(_) | StoreReply::Lost) => {
                let op = StoreOp::Read { key: RowKey::Seat(*seat) };
                board.store.send(StorePurpose::ReadSeat(*seat), op, &mut board.counters, out);
            }
            _ => {}
        }
        self.publish(board);
    }
}

fn write(board: &mut Blackboard, seat: u32, expected: Option<RowVersion>, row: SeatRow, out: &mut Vec<Action>) {
    let op = StoreOp::Write { key: RowKey::Seat(seat), expected, value: RowValue::Seat(row) };
    board.store.send(StorePurpose::WriteSeat(seat), op, &mut board.counters, out);
}
