//! Gathers the pieces of many requests into shared calls to the targets of a stage service.
//!
//! A call costs the same fixed time whatever it holds. A free target gets what waits at once; while
//! all are busy, pieces gather, so that calls fill up as load grows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, ServiceName, TargetName};
use crate::relay::document::BatchSpec;
use crate::relay::targets::TargetView;

/// What a piece is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// The request's own content, by its key.
    Content(Arc<str>),
    /// Results of earlier stages, by their handles.
    Results(Arc<[Arc<str>]>),
}

/// A piece to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceJob {
    /// Id of the request.
    pub request: Arc<str>,
    /// Position of the stage.
    pub stage: u32,
    /// Position of the piece within the stage.
    pub segment: u32,
    /// What it is made of.
    pub source: PieceSource,
    /// When its request must be answered.
    pub deadline: Moment,
    /// Urgency of its request.
    pub rank: u8,
    /// Data centre in which its result will be needed.
    pub wanted_in: Option<DcName>,
    /// Approximate size of its result.
    pub result_bytes: u64,
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PieceFailure {
    /// Its request's time was over.
    Late,
    /// An input is gone.
    InputsGone,
    /// The target had no room for the result.
    NoRoom,
    /// The target failed, or is not to be reached.
    Failed,
}

/// A piece that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceResult {
    /// Names the result at its maker.
    pub handle: Arc<str>,
    /// Data centre of the maker.
    pub dc: DcName,
}

/// How a piece ended.
pub type PieceEnd = Result<PieceResult, PieceFailure>;

/// Ties an end to its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceTicket(pub u64);

/// A call to be made.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// The target.
    pub target: TargetName,
    /// The pieces, in the order of the call.
    pub pieces: Vec<(PieceTicket, PieceJob)>,
}

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
    waiting: BTreeMap<(u8, PieceTicket), WaitingPiece>,
    running: BTreeMap<PieceTicket, WaitingPiece>,
    lanes: BTreeMap<TargetName, LaneState>,
    last_ticket: u64,
}

impl PieceQueue {
    /// Times that a piece is begun; then its request is told.
    const MOST_TRIES: u32 = 3;
    /// Waiting that is worth a megabyte from another data centre; source: the price of such bytes.
    const REMOTE_MB: Duration = Duration::from_millis(40);

    /// Adds a piece.
    pub fn push(&mut self, job: PieceJob, now: Moment) -> PieceTicket {
        self.last_ticket += 1;
        let ticket = PieceTicket(self.last_ticket);
        self.waiting.insert((job.rank, ticket), WaitingPiece { job, since: now, tries: 0 });
        ticket
    }

    /// Drops a piece that nobody waits for any more.
    pub fn cancel(&mut self, ticket: PieceTicket) {
        self.waiting.retain(|(_, other), _| *other != ticket);
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

    /// Takes out pieces whose time is over.
    pub fn take_late(&mut self, now: Moment) -> Vec<PieceTicket> {
        let late: Vec<(u8, PieceTicket)> =
            self.waiting.iter().filter(|(_, piece)| piece.job.deadline <= now).map(|(key, _)| *key).collect();
        for key in &late {
            self.waiting.remove(key);
        }
        late.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Time until a piece that comes now would be begun, if `open` targets work at full calls.
    #[must_use]
    pub fn expected_wait(&self, spec: &BatchSpec, open: usize, rank: u8) -> Duration {
        let ahead = self.waiting.range(..=(rank, PieceTicket(u64::MAX))).count();
        let calls = ahead / (spec.most_pieces.max(1) * open.max(1));
        full_call(spec) * calls as u32
    }

    /// The next call to make, if a target is free for one.
    pub fn plan(&mut self, spec: &BatchSpec, open: &[&TargetView], now: Moment) -> Option<CallPlan> {
        if self.waiting.is_empty() {
            return None;
        }
        let free: Vec<&TargetView> = open.iter().filter(|view| self.is_free(spec, view, now)).copied().collect();
        let mut best: Option<(&TargetView, Vec<(u8, PieceTicket)>)> = None;
        for view in free {
            let keys = self.fitting(spec, open, view, now);
            if best.as_ref().is_none_or(|(_, most)| keys.len() > most.len()) {
                best = Some((view, keys));
            }
        }
        let (view, keys) = best.filter(|(_, keys)| !keys.is_empty())?;
        Some(self.start(spec, view, &keys, now))
    }

    fn is_free(&self, spec: &BatchSpec, view: &TargetView, now: Moment) -> bool {
        let calls = self.lanes.get(&view.entry.target).map_or(0, |lane| lane.calls);
        calls < spec.slots.max(1) && view.resting_until <= now
    }

    /// Pieces that a call to `view` would hold now.
    fn fitting(
        &mut self,
        spec: &BatchSpec,
        open: &[&TargetView],
        view: &TargetView,
        now: Moment,
    ) -> Vec<(u8, PieceTicket)> {
        let waits = self.waits(spec, open, now);
        let lane = self.lanes.entry(view.entry.target.clone()).or_default();
        let mut room = spec.room_bytes.saturating_sub(lane.kept_bytes(now) + lane.reserved);
        let mut keys = Vec::new();
        for (key, piece) in &self.waiting {
            let home = piece.job.wanted_in.as_ref();
            let here = home.is_none_or(|dc| *dc == view.entry.dc);
            let penalty = Self::REMOTE_MB.mul_f64(piece.job.result_bytes as f64 / 1e6);
            let wait_there = home.and_then(|dc| waits.get(dc)).copied();
            let moves = wait_there.is_none_or(|wait| wait > penalty) || now.since(piece.since) > penalty * 3;
            if !(here || moves) || piece.job.result_bytes > room {
                continue;
            }
            room -= piece.job.result_bytes;
            keys.push(*key);
            if keys.len() >= spec.most_pieces.max(1) {
                break;
            }
        }
        keys
    }

    /// Time until a target of each data centre has worked off what waits for it there.
    fn waits(&self, spec: &BatchSpec, open: &[&TargetView], now: Moment) -> BTreeMap<DcName, Duration> {
        let mut waits: BTreeMap<DcName, (Duration, u32)> = BTreeMap::new();
        for view in open {
            let lane = self.lanes.get(&view.entry.target);
            let busy = lane
                .filter(|lane| lane.calls >= spec.slots.max(1))
                .map_or(Duration::ZERO, |lane| now.until(lane.busy_until));
            let resting = now.until(view.resting_until);
            let wait = waits.entry(view.entry.dc.clone()).or_insert((Duration::MAX, 0));
            wait.0 = wait.0.min(busy.max(resting));
            wait.1 += 1;
        }
        let mut counts: BTreeMap<&DcName, usize> = BTreeMap::new();
        for piece in self.waiting.values() {
            if let Some(dc) = &piece.job.wanted_in {
                *counts.entry(dc).or_default() += 1;
            }
        }
        let backlog = |dc: &DcName, lanes: u32| {
            let calls = counts.get(dc).copied().unwrap_or_default().saturating_sub(1) / spec.most_pieces.max(1);
            full_call(spec) * (calls as u32 / lanes.max(1))
        };
        waits.into_iter().map(|(dc, (wait, lanes))| (dc.clone(), wait + backlog(&dc, lanes))).collect()
    }

    fn start(&mut self, spec: &BatchSpec, view: &TargetView, keys: &[(u8, PieceTicket)], now: Moment) -> CallPlan {
        let mut pieces = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(mut piece) = self.waiting.remove(key) else { continue };
            piece.tries += 1;
            bytes += piece.job.result_bytes;
            pieces.push((key.1, piece.job.clone()));
            self.running.insert(key.1, piece);
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
        for ((_, job), end) in plan.pieces.iter().zip(&ends) {
            if let Ok(result) = end {
                lane.kept.insert(result.handle.clone(), (job.result_bytes, now + spec.keep_for));
            }
        }
        let mut told = Vec::new();
        let ends = ends.into_iter().chain(std::iter::repeat(Err(PieceFailure::Failed)));
        for ((ticket, job), end) in plan.pieces.iter().zip(ends) {
            let Some(piece) = self.running.remove(ticket) else {
                // Its request left meanwhile; the result is freed by whoever is told.
                told.push((*ticket, end));
                continue;
            };
            let again = matches!(end, Err(PieceFailure::NoRoom | PieceFailure::Failed));
            if again && piece.tries < Self::MOST_TRIES {
                self.waiting.insert((job.rank, *ticket), piece);
            } else {
                told.push((*ticket, end));
            }
        }
        told
    }

    /// Forgets results that were freed; gives back the target that keeps each.
    pub fn free(&mut self, handles: &[Arc<str>]) {
        for lane in self.lanes.values_mut() {
            for handle in handles {
                lane.kept.remove(handle);
            }
        }
    }
}

fn full_call(spec: &BatchSpec) -> Duration {
    spec.call_time + spec.piece_time * spec.most_pieces as u32
}

/// Queues by service.
#[derive(Clone, Debug, Default)]
pub struct PieceTable {
    queues: BTreeMap<ServiceName, PieceQueue>,
}

impl PieceTable {
    /// The queue of a service.
    pub fn of(&mut self, service: &ServiceName) -> &mut PieceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Services with pieces that wait.
    #[must_use]
    pub fn busy(&self) -> Vec<ServiceName> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(service, _)| service.clone()).collect()
    }
}
