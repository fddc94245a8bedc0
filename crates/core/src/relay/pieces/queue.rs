//! The piece queue of one service, at the node that batches the service's pieces. The queue decides which pieces are
//! processed next, and at which target.

mod call_ends;
mod target_usage;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use self::target_usage::TargetUsage;
use super::{CallPlan, DcWait, PieceJob, PieceTicket, QueueWait};
use crate::clock::Moment;
use crate::names::{DcName, TargetName};
use crate::relay::document::BatchSpec;
use crate::relay::targets::TargetView;

/// A piece that is pending or running.
#[derive(Clone, Debug)]
struct QueuedPiece {
    job: PieceJob,
    /// When the piece arrived, also if it was queued again after a failure.
    queued_at: Moment,
    /// Number of times that the piece was started, not counting rejections for lack of storage.
    attempts: u32,
    /// Targets with an open call for the piece. All but the last are silent, and the last one is if the piece is pending.
    open_at: Vec<TargetName>,
}

/// Key of a pending piece. Pieces of started stages come first, since their earlier results occupy storage until the
/// stage is complete. Within both groups pieces are sorted by rank, then by arrival.
type QueuePosition = (StageProgress, u8, PieceTicket);

/// Whether any piece of the same request and stage has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StageProgress {
    Started,
    NotStarted,
}

/// Key by which pieces are ordered for processing at a given time, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessingOrder {
    progress: StageProgress,
    /// Priority class, or 0 for all pieces of started stages.
    class: u32,
}

/// Returns the priority class of a piece. Lower classes are processed first. A late piece is worth less and must not
/// make others late, so it counts as less urgent by one and a half ranks. One that has lost its margin, but can still be on
/// time, counts as less urgent by half a rank: behind a less urgent rank it would become late.
fn priority_class(rank: u8, punctuality: Punctuality) -> u32 {
    u32::from(rank) * 2 + punctuality as u32
}

/// Whether the request of a piece can be on time, with the number of half ranks by which it is less urgent for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Punctuality {
    OnTime = 0,
    AtRisk = 1,
    Late = 3,
}

/// Returns the key by which a piece is ordered for processing at `now`. While all pieces have one rank, those at risk count
/// as late: an order among them serves no other rank.
fn processing_order(progress: StageProgress, job: &PieceJob, has_ranks: bool, now: Moment) -> ProcessingOrder {
    let punctuality = match job.is_on_time(now) {
        true => Punctuality::OnTime,
        false if has_ranks && now + job.time_needed <= job.objective => Punctuality::AtRisk,
        false => Punctuality::Late,
    };
    let class = if progress == StageProgress::Started { 0 } else { priority_class(job.rank, punctuality) };
    ProcessingOrder { progress, class }
}

/// Request identifier and stage index.
type StageKey = (Arc<str>, u32);

fn stage_key(job: &PieceJob) -> StageKey {
    (job.request.clone(), job.stage)
}

/// The pending and running pieces of one service, with this node's use of the service's targets.
#[derive(Clone, Debug, Default)]
pub struct PieceQueue {
    pending: BTreeMap<QueuePosition, QueuedPiece>,
    /// Positions of the pending pieces.
    positions: BTreeMap<PieceTicket, QueuePosition>,
    running: BTreeMap<PieceTicket, QueuedPiece>,
    /// Stages of which some pieces have been started and others are pending, with the bytes that the results of the
    /// pending ones will occupy.
    started_stages: BTreeMap<StageKey, u64>,
    usages: BTreeMap<TargetName, TargetUsage>,
    last_ticket: u64,
    /// When the first piece arrived after `plan` last found no pending piece. `None` if none has arrived since.
    busy_since: Option<Moment>,
    /// Calls that ended within `RATE_WINDOW`: when each ended, and how many pieces it completed.
    completions: VecDeque<(Moment, u32)>,
}

impl PieceQueue {
    /// Maximum number of times that a piece is started. The failure of the last one is reported to the request.
    const MAX_ATTEMPTS: u32 = 3;
    /// Acceptable wait for a target in the wanted data centre, for each megabyte of traffic between data centres that
    /// it saves. It follows from the price of this traffic.
    const REMOTE_WAIT_PER_MEGABYTE: Duration = Duration::from_millis(200);
    /// Maximum acceptable wait to save traffic between data centres. It is a fraction of the time that callers allow.
    const MAX_REMOTE_WAIT: Duration = Duration::from_millis(150);
    /// Divisor of a target's storage. Stages whose results fit in the resulting size may overtake larger stages that
    /// wait for storage.
    const SMALL_STAGE_DIVISOR: u64 = 50;
    /// Maximum length of the time window over which the completion rate is measured.
    const RATE_WINDOW: Duration = Duration::from_secs(2);
    /// Minimum time for which the queue must have been busy before the rate is used.
    const MIN_RATE_WINDOW: Duration = Duration::from_millis(600);
    /// Time for which a target gets no pieces after it had no storage left, unless one of its results is freed.
    const FULL_BACKOFF: Duration = Duration::from_millis(150);

    /// Adds a new piece to the queue and returns its ticket.
    pub fn push(&mut self, job: PieceJob, now: Moment) -> PieceTicket {
        self.last_ticket += 1;
        let ticket = PieceTicket(self.last_ticket);
        self.enqueue(ticket, QueuedPiece { job, queued_at: now, attempts: 0, open_at: Vec::new() });
        self.busy_since.get_or_insert(now);
        ticket
    }

    /// Inserts a new piece, or one that is retried or moved, at its position.
    fn enqueue(&mut self, ticket: PieceTicket, piece: QueuedPiece) {
        let key = stage_key(&piece.job);
        let progress =
            if self.started_stages.contains_key(&key) { StageProgress::Started } else { StageProgress::NotStarted };
        if let Some(bytes) = self.started_stages.get_mut(&key) {
            *bytes += piece.job.result_bytes;
        }
        let position = (progress, piece.job.rank, ticket);
        self.positions.insert(ticket, position);
        self.pending.insert(position, piece);
    }

    /// Removes and returns the pending piece at `position`, or returns `None` if there is none.
    fn dequeue(&mut self, position: QueuePosition) -> Option<QueuedPiece> {
        let piece = self.pending.remove(&position)?;
        self.positions.remove(&position.2);
        let key = stage_key(&piece.job);
        if let Some(bytes) = self.started_stages.get_mut(&key) {
            *bytes = bytes.saturating_sub(piece.job.result_bytes);
            if *bytes == 0 {
                self.started_stages.remove(&key);
            }
        }
        Some(piece)
    }

    /// Marks a stage as started and moves its pending pieces to the front of the queue. Has no effect if none is
    /// pending.
    fn move_stage_to_front(&mut self, key: &StageKey) {
        if self.started_stages.contains_key(key) {
            return;
        }
        let remaining = self.pending.iter().filter(|(_, piece)| stage_key(&piece.job) == *key);
        let remaining: Vec<QueuePosition> = remaining.map(|(position, _)| *position).collect();
        if remaining.is_empty() {
            return;
        }
        self.started_stages.insert(key.clone(), 0);
        for position in remaining {
            if let Some(piece) = self.pending.remove(&position) {
                self.enqueue(position.2, piece);
            }
        }
    }

    /// Drops a piece whose request no longer waits for it. If the piece is running, its call continues.
    pub fn cancel(&mut self, ticket: PieceTicket) {
        if let Some(position) = self.positions.get(&ticket).copied() {
            self.dequeue(position);
        }
        self.running.remove(&ticket);
    }

    /// Returns the number of pending pieces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no piece is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes the pending pieces that are too late and returns their tickets, except for pieces that silent targets may
    /// still process, which wait for them. A piece of a started stage is too late
    /// if its request cannot meet the deadline. Other pieces are too late earlier, by `is_too_late_to_start`.
    pub fn take_expired(&mut self, now: Moment) -> Vec<PieceTicket> {
        let late: Vec<QueuePosition> = self
            .pending
            .iter()
            .filter(|((progress, ..), piece)| match progress {
                StageProgress::Started => piece.job.is_deadline_unreachable(now),
                StageProgress::NotStarted => piece.job.is_too_late_to_start(now),
            })
            .map(|(position, _)| *position)
            .collect();
        let mut tickets = Vec::new();
        for position in late {
            match self.dequeue(position) {
                Some(piece) if !piece.open_at.is_empty() => drop(self.running.insert(position.2, piece)),
                _ => tickets.push(position.2),
            }
        }
        tickets
    }

    /// Returns the waits of a piece with priority `rank` that arrives now. The pieces ahead of it are assumed to be
    /// processed at the rate of full batches at `target_count` targets, or at the measured rate if that is lower.
    #[must_use]
    pub fn expected_wait(&self, spec: &BatchSpec, target_count: usize, rank: u8, now: Moment) -> QueueWait {
        let (mut ahead_if_on_time, mut ahead_if_late) = (0, 0);
        let has_ranks = self.pending.values().any(|piece| piece.job.rank != rank);
        let still_on_time = if has_ranks { Punctuality::AtRisk } else { Punctuality::OnTime };
        for (position, piece) in &self.pending {
            let order = processing_order(position.0, &piece.job, has_ranks, now);
            ahead_if_on_time += usize::from(
                order
                    <= ProcessingOrder {
                        progress: StageProgress::NotStarted,
                        class: priority_class(rank, still_on_time),
                    },
            );
            ahead_if_late += usize::from(
                order
                    <= ProcessingOrder {
                        progress: StageProgress::NotStarted,
                        class: priority_class(rank, Punctuality::Late),
                    },
            );
        }
        let full_interval = full_call_time(spec) / (spec.max_pieces.max(1) * target_count.max(1)) as u32;
        let piece_interval =
            self.measured_piece_interval(now).map_or(full_interval, |interval| interval.max(full_interval));
        QueueWait { on_time: piece_interval * ahead_if_on_time as u32, late: piece_interval * ahead_if_late as u32 }
    }

    /// Returns the recent average time per completed piece, over all targets. Returns `None` if the queue has not been
    /// busy for `MIN_RATE_WINDOW`.
    fn measured_piece_interval(&self, now: Moment) -> Option<Duration> {
        let busy_time = now.since(self.busy_since?).min(Self::RATE_WINDOW);
        if busy_time < Self::MIN_RATE_WINDOW {
            return None;
        }
        let completed: u32 =
            self.completions.iter().filter(|(at, _)| now.since(*at) <= busy_time).map(|(_, completed)| completed).sum();
        Some(busy_time / completed.max(1))
    }

    /// Records that a call ended at `now` with `completed` finished pieces.
    fn record_completions(&mut self, completed: u32, now: Moment) {
        self.completions.push_back((now, completed));
        while self.completions.front().is_some_and(|(at, _)| now.since(*at) > Self::RATE_WINDOW) {
            self.completions.pop_front();
        }
    }

    /// Plans the next call and marks its pieces as running. The target is the one that can get the most pieces. Of those
    /// that can get equally many, it is one with room under its limit, and among these the one that works fastest now.
    /// Returns `None` if no target is free or no piece may be started.
    pub fn plan(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> Option<CallPlan> {
        if self.pending.is_empty() {
            self.busy_since = None;
            return None;
        }
        // If all targets fail, the pieces lose nothing by being tried.
        let skips_failing = targets.iter().any(|view| self.failed_calls(view) == 0);
        let is_free = |view: &&&TargetView| {
            self.has_free_slot(spec, view, now) && !(skips_failing && self.is_backing_off(view, now))
        };
        let free: Vec<&TargetView> = targets.iter().filter(is_free).copied().collect();
        let waits = self.dc_waits(spec, targets, now);
        let spare_bytes = self.spare_bytes(spec, targets, now);
        let mut best: Option<(&TargetView, Vec<QueuePosition>)> = None;
        for view in free {
            let mut positions = self.select_pieces(spec, &waits, spare_bytes, view, now);
            if skips_failing && self.failed_calls(view) > 0 {
                // One piece shows whether the target works again.
                positions.truncate(1);
            }
            let is_better = best.as_ref().is_none_or(|(best_view, most)| {
                let faster = || self.is_faster_now(spec, view, best_view, positions.len(), now);
                positions.len() > most.len() || (positions.len() == most.len() && faster())
            });
            if is_better {
                best = Some((view, positions));
            }
        }
        let (view, positions) = best.filter(|(_, positions)| !positions.is_empty())?;
        Some(self.start_call(spec, view, &positions, now))
    }

    /// Returns whether a call with `count` pieces is preferably sent to `view` rather than to `other`: it alone has room
    /// under its limit, or it is expected to work faster during the call. False for targets that do not state their work
    /// time.
    fn is_faster_now(
        &self,
        spec: &BatchSpec,
        view: &TargetView,
        other: &TargetView,
        count: usize,
        now: Moment,
    ) -> bool {
        let has_room = |view: &TargetView| {
            let in_flight = self.usages.get(&view.entry.target).map_or(0, |usage| usage.in_flight);
            view.start_limit().is_none_or(|limit| f64::from(in_flight.max(view.total_in_flight())) + 1.0 <= limit)
        };
        let call_time = spec.fixed_call_time + spec.piece_time * count as u32;
        let ratio = |view: &TargetView| view.work_time_ratio_over(call_time, now);
        match (has_room(view), has_room(other)) {
            (true, false) => true,
            (false, true) => false,
            _ => ratio(view) < ratio(other),
        }
    }

    /// Returns whether a target may get a call now: it has a free slot and is in no backoff.
    fn has_free_slot(&self, spec: &BatchSpec, view: &TargetView, now: Moment) -> bool {
        let usage = self.usages.get(&view.entry.target);
        let is_usage_low = usage.is_none_or(|usage| usage.in_flight < spec.slots.max(1) && usage.full_until <= now);
        is_usage_low && view.backoff_until <= now && view.declines_until <= now
    }

    /// Returns the number of calls to a target in a row that failed as a whole.
    fn failed_calls(&self, view: &TargetView) -> u32 {
        self.usages.get(&view.entry.target).map_or(0, |usage| usage.failed_calls)
    }

    fn is_backing_off(&self, view: &TargetView, now: Moment) -> bool {
        self.usages.get(&view.entry.target).is_some_and(|usage| usage.failed_calls > 0 && usage.retry_at > now)
    }

    /// Returns the free storage of all `targets` together, in bytes, less what the results of the pending pieces of
    /// started stages will occupy.
    fn spare_bytes(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> u64 {
        let mut free_storage_bytes: u64 = 0;
        for view in targets {
            let usage = self.usages.entry(view.entry.target.clone()).or_default();
            let used = usage.stored_bytes(now) + usage.reserved_bytes;
            free_storage_bytes = free_storage_bytes.saturating_add(spec.storage_bytes.saturating_sub(used));
        }
        free_storage_bytes.saturating_sub(self.started_stages.values().sum())
    }

    /// Returns the bytes that the results of the pending pieces will occupy, by stage.
    fn stage_bytes(&self) -> BTreeMap<StageKey, u64> {
        let mut bytes: BTreeMap<StageKey, u64> = BTreeMap::new();
        for piece in self.pending.values() {
            *bytes.entry(stage_key(&piece.job)).or_default() += piece.job.result_bytes;
        }
        bytes
    }

    /// Returns the positions of the pieces that a call to `view` would contain now. `spare_bytes` is the storage that
    /// stages may use that have not been started.
    fn select_pieces(
        &mut self,
        spec: &BatchSpec,
        waits: &BTreeMap<DcName, DcWait>,
        mut spare_bytes: u64,
        view: &TargetView,
        now: Moment,
    ) -> Vec<QueuePosition> {
        let stage_bytes = self.stage_bytes();
        let has_no_started_stage = self.started_stages.is_empty();
        let mut admitted: BTreeSet<StageKey> = BTreeSet::new();
        let usage = self.usages.entry(view.entry.target.clone()).or_default();
        let mut free_storage_bytes = spec.storage_bytes.saturating_sub(usage.stored_bytes(now) + usage.reserved_bytes);
        let mut positions = Vec::new();
        let mut order: Vec<_> = self.pending.iter().collect();
        let first_rank = order.first().map(|(_, piece)| piece.job.rank);
        let has_ranks = order.iter().any(|(_, piece)| Some(piece.job.rank) != first_rank);
        order.sort_by_key(|(position, piece)| (processing_order(position.0, &piece.job, has_ranks, now), position.2));
        for (position, piece) in order {
            let wanted_dc = piece.job.wanted_in.as_ref();
            let is_local = wanted_dc.is_none_or(|dc| *dc == view.entry.dc);
            let max_home_wait =
                Self::REMOTE_WAIT_PER_MEGABYTE.mul_f64(piece.job.remote_bytes as f64 / 1e6).min(Self::MAX_REMOTE_WAIT);
            let home_wait = wanted_dc.and_then(|dc| waits.get(dc));
            let may_move = home_wait.is_none_or(|home_wait| {
                home_wait.wait > max_home_wait || home_wait.free_storage_bytes < piece.job.result_bytes
            }) || now.since(piece.queued_at) > max_home_wait * 3;
            let is_open_there = piece.open_at.contains(&view.entry.target);
            if !(is_local || may_move) || is_open_there || piece.job.result_bytes > free_storage_bytes {
                continue;
            }
            let stage = stage_key(&piece.job);
            if position.0 == StageProgress::NotStarted && !admitted.contains(&stage) {
                // Start a stage only if there is storage for all of its results. Partly completed stages would block
                // each other.
                let bytes = stage_bytes.get(&stage).copied().unwrap_or_default();
                // A stage that is larger than the storage of a target is started if no other stage has been.
                if bytes > spare_bytes && !(has_no_started_stage && bytes > spec.storage_bytes) {
                    // Stages behind this one must not take the storage that it waits for.
                    spare_bytes = spare_bytes.min(spec.storage_bytes / Self::SMALL_STAGE_DIVISOR);
                    continue;
                }
                spare_bytes = spare_bytes.saturating_sub(bytes);
                admitted.insert(stage);
            }
            free_storage_bytes -= piece.job.result_bytes;
            positions.push(*position);
            if positions.len() >= spec.max_pieces.max(1) {
                break;
            }
        }
        positions
    }

    /// Returns the availability of the targets by data centre. The wait of a data centre lasts until its first target
    /// is free, plus the full calls for the pending pieces that are wanted there.
    fn dc_waits(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> BTreeMap<DcName, DcWait> {
        let mut waits: BTreeMap<DcName, DcWait> = BTreeMap::new();
        for view in targets {
            let usage = self.usages.entry(view.entry.target.clone()).or_default();
            let busy_time =
                if usage.in_flight >= spec.slots.max(1) { now.until(usage.busy_until) } else { Duration::ZERO };
            let paused_until = view.backoff_until.max(view.declines_until).max(usage.full_until);
            let backoff = now.until(paused_until);
            let used = usage.stored_bytes(now) + usage.reserved_bytes;
            let dc_wait = waits.entry(view.entry.dc.clone()).or_insert(DcWait {
                wait: Duration::MAX,
                free_storage_bytes: 0,
                target_count: 0,
            });
            dc_wait.wait = dc_wait.wait.min(busy_time.max(backoff));
            dc_wait.free_storage_bytes = dc_wait.free_storage_bytes.max(spec.storage_bytes.saturating_sub(used));
            dc_wait.target_count += 1;
        }
        let mut counts: BTreeMap<&DcName, usize> = BTreeMap::new();
        for piece in self.pending.values() {
            if let Some(dc) = &piece.job.wanted_in {
                *counts.entry(dc).or_default() += 1;
            }
        }
        for (dc, dc_wait) in &mut waits {
            let other_pieces = counts.get(dc).copied().unwrap_or_default().saturating_sub(1);
            let calls = other_pieces / (spec.max_pieces.max(1) * dc_wait.target_count.max(1));
            dc_wait.wait += full_call_time(spec) * calls as u32;
        }
        waits
    }

    /// Moves pieces from pending to running and returns the call that processes them.
    fn start_call(
        &mut self,
        spec: &BatchSpec,
        view: &TargetView,
        positions: &[QueuePosition],
        now: Moment,
    ) -> CallPlan {
        let mut pieces = Vec::new();
        let mut bytes = 0;
        for position in positions {
            let Some(mut piece) = self.dequeue(*position) else { continue };
            piece.attempts += 1;
            piece.open_at.push(view.entry.target.clone());
            bytes += piece.job.result_bytes;
            pieces.push((position.2, piece.job.clone()));
            self.running.insert(position.2, piece);
        }
        for (_, job) in &pieces {
            self.move_stage_to_front(&stage_key(job));
        }
        let usage = self.usages.entry(view.entry.target.clone()).or_default();
        usage.in_flight += 1;
        usage.reserved_bytes += bytes;
        usage.busy_until = now + spec.fixed_call_time + spec.piece_time * pieces.len() as u32;
        CallPlan { target: view.entry.target.clone(), pieces }
    }

    /// Forgets results that were freed at their targets. Ends the backoff of these targets for lack of storage.
    pub fn forget_results(&mut self, handles: &[Arc<str>]) {
        for usage in self.usages.values_mut() {
            for handle in handles {
                if usage.stored_results.remove(handle).is_some() {
                    usage.full_until = Moment::default();
                }
            }
        }
    }
}

/// Returns how long a call with the maximum number of pieces takes.
fn full_call_time(spec: &BatchSpec) -> Duration {
    spec.fixed_call_time + spec.piece_time * spec.max_pieces as u32
}
