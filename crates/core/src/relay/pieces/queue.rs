//! The pieces of one service, at the node that gathers them: which are made next, and where.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{CallPlan, DcWait, PieceEnd, PieceFailure, PieceJob, PieceTicket, QueueWait};
use crate::clock::Moment;
use crate::names::{DcName, TargetName};
use crate::relay::document::BatchSpec;
use crate::relay::targets::TargetView;

#[derive(Clone, Debug)]
struct WaitingPiece {
    job: PieceJob,
    since: Moment,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct LaneState {
    calls: u32,
    busy_until: Moment,
    reserved: u64,
    kept: BTreeMap<Arc<str>, (u64, Moment)>,
    /// Until when the target counts as full: it said so, and nothing was freed there since.
    full_until: Moment,
}

/// Place in the order of service: stages that were begun first, since their results take up room until the
/// rest is made; then by urgency, then by arrival.
type PieceOrder = (StagePhase, u8, PieceTicket);

/// Whether a piece of the same request and stage was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StagePhase {
    Begun,
    Fresh,
}

/// When a piece is made: lower ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    phase: StagePhase,
    class: u32,
}

/// Class of a request in the order of service. What is late is worth less, and must not make others late: it counts
/// as less urgent by one and a half ranks.
fn class_of(rank: u8, is_late: bool) -> u32 {
    u32::from(rank) * 2 + if is_late { 3 } else { 0 }
}

fn turn(phase: StagePhase, job: &PieceJob, now: Moment) -> Turn {
    let class = if phase == StagePhase::Begun { 0 } else { class_of(job.rank, !job.is_on_time(now)) };
    Turn { phase, class }
}

/// A request's stage.
type StageKey = (Arc<str>, u32);

fn stage_key(job: &PieceJob) -> StageKey {
    (job.request.clone(), job.stage)
}

impl LaneState {
    fn kept_bytes(&mut self, now: Moment) -> u64 {
        self.kept.retain(|_, (_, until)| *until > now);
        self.kept.values().map(|(bytes, _)| bytes).sum()
    }
}

/// The pieces of one service, at the node that gathers them.
#[derive(Clone, Debug, Default)]
pub struct PieceQueue {
    waiting: BTreeMap<PieceOrder, WaitingPiece>,
    places: BTreeMap<PieceTicket, PieceOrder>,
    running: BTreeMap<PieceTicket, WaitingPiece>,
    /// Stages of which pieces were begun, with the bytes that their waiting pieces will take up.
    begun: BTreeMap<StageKey, u64>,
    lanes: BTreeMap<TargetName, LaneState>,
    last_ticket: u64,
    /// When pieces began to wait, if some do.
    busy_since: Option<Moment>,
    /// Ends of calls lately, with the pieces that were made.
    made: VecDeque<(Moment, u32)>,
}

impl PieceQueue {
    /// Times that a piece is begun; then its request is told.
    const MOST_TRIES: u32 = 3;
    /// Waiting that is worth a megabyte from another data centre; source: the price of such bytes.
    const REMOTE_MB: Duration = Duration::from_millis(200);
    /// Longest wait for that sake: a fraction of the time that callers give.
    const LONGEST_PENALTY: Duration = Duration::from_millis(150);
    /// A stage whose results take less than this part of a target's room goes past larger ones that wait for room.
    const SMALL_PART: u64 = 50;
    /// Time over which the rate of made pieces is measured, and the least time for which it must have been busy.
    const RATE_WINDOW: Duration = Duration::from_secs(2);
    const RATE_LEAST: Duration = Duration::from_millis(600);
    /// Time for which a target that has no room is not asked again, unless a result is freed there.
    const FULL_FOR: Duration = Duration::from_millis(150);

    /// Adds a piece.
    pub fn push(&mut self, job: PieceJob, now: Moment) -> PieceTicket {
        self.last_ticket += 1;
        let ticket = PieceTicket(self.last_ticket);
        self.wait(ticket, WaitingPiece { job, since: now, tries: 0 });
        self.busy_since.get_or_insert(now);
        ticket
    }

    fn wait(&mut self, ticket: PieceTicket, piece: WaitingPiece) {
        let key = stage_key(&piece.job);
        let phase = if self.begun.contains_key(&key) { StagePhase::Begun } else { StagePhase::Fresh };
        if let Some(bytes) = self.begun.get_mut(&key) {
            *bytes += piece.job.result_bytes;
        }
        let place = (phase, piece.job.rank, ticket);
        self.places.insert(ticket, place);
        self.waiting.insert(place, piece);
    }

    /// Takes a piece out of the queue.
    fn unwait(&mut self, place: PieceOrder) -> Option<WaitingPiece> {
        let piece = self.waiting.remove(&place)?;
        self.places.remove(&place.2);
        let key = stage_key(&piece.job);
        if let Some(bytes) = self.begun.get_mut(&key) {
            *bytes = bytes.saturating_sub(piece.job.result_bytes);
            if *bytes == 0 {
                self.begun.remove(&key);
            }
        }
        Some(piece)
    }

    /// Puts the waiting pieces of a stage first, now that one of them is begun.
    fn begin_stage(&mut self, key: &StageKey) {
        if self.begun.contains_key(key) {
            return;
        }
        let rest = self.waiting.iter().filter(|(_, piece)| stage_key(&piece.job) == *key);
        let rest: Vec<PieceOrder> = rest.map(|(place, _)| *place).collect();
        if rest.is_empty() {
            return;
        }
        self.begun.insert(key.clone(), 0);
        for place in rest {
            if let Some(piece) = self.waiting.remove(&place) {
                self.wait(place.2, piece);
            }
        }
    }

    /// Drops a piece that nobody waits for any more.
    pub fn cancel(&mut self, ticket: PieceTicket) {
        if let Some(place) = self.places.get(&ticket).copied() {
            self.unwait(place);
        }
        self.running.remove(&ticket);
    }

    /// Pieces that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes out pieces whose requests cannot be answered in time any more.
    pub fn take_late(&mut self, now: Moment) -> Vec<PieceTicket> {
        let late: Vec<PieceOrder> = self
            .waiting
            .iter()
            .filter(|((phase, ..), piece)| match phase {
                StagePhase::Begun => piece.job.is_lost(now),
                StagePhase::Fresh => piece.job.is_given_up(now),
            })
            .map(|(place, _)| *place)
            .collect();
        for place in &late {
            self.unwait(*place);
        }
        late.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    /// Time until a piece of urgency `rank` that comes now is begun, if `open` targets work at full calls.
    #[must_use]
    pub fn expected_wait(&self, spec: &BatchSpec, open: usize, rank: u8, now: Moment) -> QueueWait {
        let (mut on_time, mut all) = (0, 0);
        for (place, piece) in &self.waiting {
            let turn = turn(place.0, &piece.job, now);
            on_time += usize::from(turn <= Turn { phase: StagePhase::Fresh, class: class_of(rank, false) });
            all += usize::from(turn <= Turn { phase: StagePhase::Fresh, class: class_of(rank, true) });
        }
        let full = full_call(spec) / (spec.most_pieces.max(1) * open.max(1)) as u32;
        let per_piece = self.measured_pace(now).map_or(full, |pace| pace.max(full));
        QueueWait { on_time: per_piece * on_time as u32, late: per_piece * all as u32 }
    }

    /// Time for each piece as they were made lately, if the queue has been busy for long enough to tell.
    fn measured_pace(&self, now: Moment) -> Option<Duration> {
        let busy = now.since(self.busy_since?).min(Self::RATE_WINDOW);
        if busy < Self::RATE_LEAST {
            return None;
        }
        let made: u32 = self.made.iter().filter(|(at, _)| now.since(*at) <= busy).map(|(_, made)| made).sum();
        Some(busy / made.max(1))
    }

    fn note_made(&mut self, made: u32, now: Moment) {
        self.made.push_back((now, made));
        while self.made.front().is_some_and(|(at, _)| now.since(*at) > Self::RATE_WINDOW) {
            self.made.pop_front();
        }
    }

    /// The next call to make, if a target is free for one.
    pub fn plan(&mut self, spec: &BatchSpec, open: &[&TargetView], now: Moment) -> Option<CallPlan> {
        if self.waiting.is_empty() {
            self.busy_since = None;
            return None;
        }
        let free: Vec<&TargetView> = open.iter().filter(|view| self.is_free(spec, view, now)).copied().collect();
        let waits = self.waits(spec, open, now);
        let spare = self.spare_room(spec, open, now);
        let mut best: Option<(&TargetView, Vec<PieceOrder>)> = None;
        for view in free {
            let keys = self.fitting(spec, &waits, spare, view, now);
            if best.as_ref().is_none_or(|(_, most)| keys.len() > most.len()) {
                best = Some((view, keys));
            }
        }
        let (view, keys) = best.filter(|(_, keys)| !keys.is_empty())?;
        Some(self.start(spec, view, &keys, now))
    }

    fn is_free(&self, spec: &BatchSpec, view: &TargetView, now: Moment) -> bool {
        let lane = self.lanes.get(&view.entry.target);
        let is_free = lane.is_none_or(|lane| lane.calls < spec.slots.max(1) && lane.full_until <= now);
        is_free && view.resting_until <= now
    }

    /// Room at all open targets beyond what the waiting pieces of begun stages will take up.
    fn spare_room(&mut self, spec: &BatchSpec, open: &[&TargetView], now: Moment) -> u64 {
        let mut room: u64 = 0;
        for view in open {
            let lane = self.lanes.entry(view.entry.target.clone()).or_default();
            let used = lane.kept_bytes(now) + lane.reserved;
            room = room.saturating_add(spec.room_bytes.saturating_sub(used));
        }
        room.saturating_sub(self.begun.values().sum())
    }

    /// Bytes that the results of each stage in the queue will take up.
    fn stage_bytes(&self) -> BTreeMap<StageKey, u64> {
        let mut bytes: BTreeMap<StageKey, u64> = BTreeMap::new();
        for piece in self.waiting.values() {
            *bytes.entry(stage_key(&piece.job)).or_default() += piece.job.result_bytes;
        }
        bytes
    }

    /// Pieces that a call to `view` would hold now.
    fn fitting(
        &mut self,
        spec: &BatchSpec,
        waits: &BTreeMap<DcName, DcWait>,
        mut spare: u64,
        view: &TargetView,
        now: Moment,
    ) -> Vec<PieceOrder> {
        let stage_bytes = self.stage_bytes();
        let is_first = self.begun.is_empty();
        let mut entered: BTreeSet<StageKey> = BTreeSet::new();
        let lane = self.lanes.entry(view.entry.target.clone()).or_default();
        let mut room = spec.room_bytes.saturating_sub(lane.kept_bytes(now) + lane.reserved);
        let mut keys = Vec::new();
        let mut order: Vec<_> = self.waiting.iter().collect();
        order.sort_by_key(|(place, piece)| (turn(place.0, &piece.job, now), place.2));
        for (key, piece) in order {
            let home = piece.job.wanted_in.as_ref();
            let here = home.is_none_or(|dc| *dc == view.entry.dc);
            let penalty = Self::REMOTE_MB.mul_f64(piece.job.remote_bytes as f64 / 1e6).min(Self::LONGEST_PENALTY);
            let there = home.and_then(|dc| waits.get(dc));
            let moves = there.is_none_or(|there| there.wait > penalty || there.room < piece.job.result_bytes)
                || now.since(piece.since) > penalty * 3;
            if !(here || moves) || piece.job.result_bytes > room {
                continue;
            }
            let stage = stage_key(&piece.job);
            if key.0 == StagePhase::Fresh && !entered.contains(&stage) {
                // A stage is begun only if all of its results find room: begun halfway, stages would hold up each other.
                let bytes = stage_bytes.get(&stage).copied().unwrap_or_default();
                // One that never fits whole is begun alone.
                if bytes > spare && !(is_first && bytes > spec.room_bytes) {
                    // What follows must not take the room that this one waits for.
                    spare = spare.min(spec.room_bytes / Self::SMALL_PART);
                    continue;
                }
                spare = spare.saturating_sub(bytes);
                entered.insert(stage);
            }
            room -= piece.job.result_bytes;
            keys.push(*key);
            if keys.len() >= spec.most_pieces.max(1) {
                break;
            }
        }
        keys
    }

    /// How soon a target of each data centre has worked off what waits for it there, and its room.
    fn waits(&mut self, spec: &BatchSpec, open: &[&TargetView], now: Moment) -> BTreeMap<DcName, DcWait> {
        let mut waits: BTreeMap<DcName, DcWait> = BTreeMap::new();
        for view in open {
            let lane = self.lanes.entry(view.entry.target.clone()).or_default();
            let busy = if lane.calls >= spec.slots.max(1) { now.until(lane.busy_until) } else { Duration::ZERO };
            let resting = now.until(view.resting_until).max(now.until(lane.full_until));
            let used = lane.kept_bytes(now) + lane.reserved;
            let there =
                waits.entry(view.entry.dc.clone()).or_insert(DcWait { wait: Duration::MAX, room: 0, targets: 0 });
            there.wait = there.wait.min(busy.max(resting));
            there.room = there.room.max(spec.room_bytes.saturating_sub(used));
            there.targets += 1;
        }
        let mut counts: BTreeMap<&DcName, usize> = BTreeMap::new();
        for piece in self.waiting.values() {
            if let Some(dc) = &piece.job.wanted_in {
                *counts.entry(dc).or_default() += 1;
            }
        }
        for (dc, there) in &mut waits {
            let others = counts.get(dc).copied().unwrap_or_default().saturating_sub(1);
            let calls = others / (spec.most_pieces.max(1) * there.targets.max(1));
            there.wait += full_call(spec) * calls as u32;
        }
        waits
    }

    fn start(&mut self, spec: &BatchSpec, view: &TargetView, keys: &[PieceOrder], now: Moment) -> CallPlan {
        let mut pieces = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(mut piece) = self.unwait(*key) else { continue };
            piece.tries += 1;
            bytes += piece.job.result_bytes;
            pieces.push((key.2, piece.job.clone()));
            self.running.insert(key.2, piece);
        }
        for (_, job) in &pieces {
            self.begin_stage(&stage_key(job));
        }
        let lane = self.lanes.entry(view.entry.target.clone()).or_default();
        lane.calls += 1;
        lane.reserved += bytes;
        lane.busy_until = now + spec.call_time + spec.piece_time * pieces.len() as u32;
        CallPlan { target: view.entry.target.clone(), pieces }
    }

    /// Ends a call; gives back the ends that their requests shall be told. Failed pieces wait again.
    pub fn finish(
        &mut self,
        spec: &BatchSpec,
        plan: &CallPlan,
        ends: Vec<PieceEnd>,
        now: Moment,
    ) -> Vec<(PieceTicket, PieceEnd)> {
        let lane = self.lanes.entry(plan.target.clone()).or_default();
        lane.calls = lane.calls.saturating_sub(1);
        let bytes: u64 = plan.pieces.iter().map(|(_, job)| job.result_bytes).sum();
        lane.reserved = lane.reserved.saturating_sub(bytes);
        let made = ends.iter().filter(|end| end.is_ok()).count() as u32;
        if ends.contains(&Err(PieceFailure::NoRoom)) {
            lane.full_until = now + Self::FULL_FOR;
        }
        for ((_, job), end) in plan.pieces.iter().zip(&ends) {
            if let Ok(result) = end {
                lane.kept.insert(result.handle.clone(), (job.result_bytes, now + spec.keep_for));
            }
        }
        self.note_made(made, now);
        let mut told = Vec::new();
        let ends = ends.into_iter().chain(std::iter::repeat(Err(PieceFailure::Failed)));
        for ((ticket, job), end) in plan.pieces.iter().zip(ends) {
            let Some(mut piece) = self.running.remove(ticket) else {
                // Its request left meanwhile; the result is freed by whoever is told.
                told.push((*ticket, end));
                continue;
            };
            if end == Err(PieceFailure::NoRoom) {
                // Not a failure of the piece: it was not begun.
                piece.tries -= 1;
            }
            let again = matches!(end, Err(PieceFailure::NoRoom | PieceFailure::Failed));
            if again && piece.tries < Self::MOST_TRIES && !job.is_lost(now) {
                self.wait(*ticket, piece);
            } else {
                told.push((*ticket, end));
            }
        }
        told
    }

    /// Forgets results that were freed.
    pub fn free(&mut self, handles: &[Arc<str>]) {
        for lane in self.lanes.values_mut() {
            for handle in handles {
                if lane.kept.remove(handle).is_some() {
                    lane.full_until = Moment::default();
                }
            }
        }
    }
}

fn full_call(spec: &BatchSpec) -> Duration {
    spec.call_time + spec.piece_time * spec.most_pieces as u32
}
