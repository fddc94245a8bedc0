//! The piece queue of one service, at the node that batches its pieces. Decides which pieces are processed next, and at
//! which target.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{CallPlan, DcWait, PieceFailure, PieceJob, PieceOutcome, PieceTicket, QueueWait};
use crate::clock::Moment;
use crate::names::{DcName, TargetName};
use crate::relay::document::BatchSpec;
use crate::relay::targets::TargetView;

/// A piece that is pending or running.
#[derive(Clone, Debug)]
struct QueuedPiece {
    job: PieceJob,
    queued_at: Moment,
    attempts: u32,
}

/// This node's use of one target.
#[derive(Clone, Debug, Default)]
struct TargetUsage {
    /// Number of calls in flight.
    in_flight: u32,
    /// When the latest call is expected to end.
    busy_until: Moment,
    /// Storage reserved for the results of the calls in flight.
    reserved_bytes: u64,
    /// Results stored at the target: size, and when the target drops it.
    stored_results: BTreeMap<Arc<str>, (u64, Moment)>,
    /// When the target may get pieces again after it reported to be full. Reset when one of its results is freed.
    full_until: Moment,
}

/// Sort key of pending pieces. Pieces of started stages come first, since their earlier results occupy storage until
/// the stage is complete. The others follow by rank, then by arrival.
type QueuePosition = (StageProgress, u8, PieceTicket);

/// Whether any piece of the same request and stage has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StageProgress {
    Started,
    NotStarted,
}

/// Order in which pieces are served at a given time, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceOrder {
    progress: StageProgress,
    class: u32,
}

/// Returns the priority class of a piece, where lower classes are served first. A late piece is worth less and must not
/// make others late: it counts as less urgent by one and a half ranks.
fn priority_class(rank: u8, is_late: bool) -> u32 {
    u32::from(rank) * 2 + if is_late { 3 } else { 0 }
}

/// Returns the place of a piece in the service order at `now`.
fn service_order(progress: StageProgress, job: &PieceJob, now: Moment) -> ServiceOrder {
    let class = if progress == StageProgress::Started { 0 } else { priority_class(job.rank, !job.is_on_time(now)) };
    ServiceOrder { progress, class }
}

/// Request identifier and stage index.
type StageKey = (Arc<str>, u32);

fn stage_key(job: &PieceJob) -> StageKey {
    (job.request.clone(), job.stage)
}

impl TargetUsage {
    /// Returns the storage that results occupy at `now`. Forgets expired results.
    fn stored_bytes(&mut self, now: Moment) -> u64 {
        self.stored_results.retain(|_, (_, until)| *until > now);
        self.stored_results.values().map(|(bytes, _)| bytes).sum()
    }
}

/// The pieces of one service, with the state of its targets.
#[derive(Clone, Debug, Default)]
pub struct PieceQueue {
    pending: BTreeMap<QueuePosition, QueuedPiece>,
    positions: BTreeMap<PieceTicket, QueuePosition>,
    running: BTreeMap<PieceTicket, QueuedPiece>,
    /// Stages of which some pieces have been started and others are pending, with the storage that the results of the
    /// pending ones will occupy.
    started_stages: BTreeMap<StageKey, u64>,
    usages: BTreeMap<TargetName, TargetUsage>,
    last_ticket: u64,
    /// Since when the queue has had pieces, or `None` if it was empty when the last call was planned.
    busy_since: Option<Moment>,
    /// Recently ended calls: when each ended, and how many pieces it completed.
    completions: VecDeque<(Moment, u32)>,
}

impl PieceQueue {
    /// Maximum number of times that a piece is started before its failure is reported to the request.
    const MAX_ATTEMPTS: u32 = 3;
    /// Wait that is acceptable for each megabyte of traffic between data centres that it saves. It follows from the
    /// price of this traffic.
    const REMOTE_WAIT_PER_MEGABYTE: Duration = Duration::from_millis(200);
    /// Maximum wait to save traffic between data centres: a fraction of the time that callers give.
    const MAX_REMOTE_WAIT: Duration = Duration::from_millis(150);
    /// A stage whose results occupy at most this fraction (1 / divisor) of a target's storage may overtake larger
    /// stages that wait for storage.
    const SMALL_STAGE_DIVISOR: u64 = 50;
    /// Time window over which the completion rate is measured.
    const RATE_WINDOW: Duration = Duration::from_secs(2);
    /// Minimum time for which the queue must have been busy before the rate is used.
    const MIN_RATE_WINDOW: Duration = Duration::from_millis(600);
    /// Time for which a target without storage gets no pieces, unless one of its results is freed.
    const FULL_BACKOFF: Duration = Duration::from_millis(150);

    /// Adds a piece to the queue.
    pub fn push(&mut self, job: PieceJob, now: Moment) -> PieceTicket {
        self.last_ticket += 1;
        let ticket = PieceTicket(self.last_ticket);
        self.enqueue(ticket, QueuedPiece { job, queued_at: now, attempts: 0 });
        self.busy_since.get_or_insert(now);
        ticket
    }

    /// Inserts a new or failed piece at its position.
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

    /// Removes a pending piece.
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

    /// Moves the pending pieces of a stage to the front of the queue once one of its pieces has been started.
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

    /// Drops a piece whose request no longer waits for it.
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

    /// Removes and returns the pieces whose requests can no longer be answered in time.
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
        for position in &late {
            self.dequeue(*position);
        }
        late.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    /// Returns the time until a piece with priority `rank` that arrives now is started, if `target_count` targets
    /// process full batches.
    #[must_use]
    pub fn expected_wait(&self, spec: &BatchSpec, target_count: usize, rank: u8, now: Moment) -> QueueWait {
        let (mut on_time, mut all) = (0, 0);
        for (position, piece) in &self.pending {
            let order = service_order(position.0, &piece.job, now);
            on_time += usize::from(
                order <= ServiceOrder { progress: StageProgress::NotStarted, class: priority_class(rank, false) },
            );
            all += usize::from(
                order <= ServiceOrder { progress: StageProgress::NotStarted, class: priority_class(rank, true) },
            );
        }
        let full_interval = full_call_time(spec) / (spec.max_pieces.max(1) * target_count.max(1)) as u32;
        let piece_interval =
            self.measured_piece_interval(now).map_or(full_interval, |interval| interval.max(full_interval));
        QueueWait { on_time: piece_interval * on_time as u32, late: piece_interval * all as u32 }
    }

    /// Returns the recent average time per completed piece, or `None` if the queue has not been busy for long enough to
    /// measure it.
    fn measured_piece_interval(&self, now: Moment) -> Option<Duration> {
        let busy = now.since(self.busy_since?).min(Self::RATE_WINDOW);
        if busy < Self::MIN_RATE_WINDOW {
            return None;
        }
        let completed: u32 =
            self.completions.iter().filter(|(at, _)| now.since(*at) <= busy).map(|(_, completed)| completed).sum();
        Some(busy / completed.max(1))
    }

    /// Records that a call ended at `now` with `completed` finished pieces.
    fn record_completions(&mut self, completed: u32, now: Moment) {
        self.completions.push_back((now, completed));
        while self.completions.front().is_some_and(|(at, _)| now.since(*at) > Self::RATE_WINDOW) {
            self.completions.pop_front();
        }
    }

    /// Plans the next call and marks its pieces as running. Returns `None` if no target is free or no piece may be
    /// started.
    pub fn plan(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> Option<CallPlan> {
        if self.pending.is_empty() {
            self.busy_since = None;
            return None;
        }
        let free: Vec<&TargetView> =
            targets.iter().filter(|view| self.has_free_slot(spec, view, now)).copied().collect();
        let waits = self.dc_waits(spec, targets, now);
        let spare_bytes = self.spare_bytes(spec, targets, now);
        let mut best: Option<(&TargetView, Vec<QueuePosition>)> = None;
        for view in free {
            let positions = self.select_pieces(spec, &waits, spare_bytes, view, now);
            if best.as_ref().is_none_or(|(_, most)| positions.len() > most.len()) {
                best = Some((view, positions));
            }
        }
        let (view, positions) = best.filter(|(_, positions)| !positions.is_empty())?;
        Some(self.start_call(spec, view, &positions, now))
    }

    /// Returns whether a target may get a call now.
    fn has_free_slot(&self, spec: &BatchSpec, view: &TargetView, now: Moment) -> bool {
        let usage = self.usages.get(&view.entry.target);
        let has_free_slot = usage.is_none_or(|usage| usage.in_flight < spec.slots.max(1) && usage.full_until <= now);
        has_free_slot && view.backoff_until <= now
    }

    /// Returns the free storage of all `targets` beyond what the pending pieces of started stages will occupy.
    fn spare_bytes(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> u64 {
        let mut free_storage_bytes: u64 = 0;
        for view in targets {
            let usage = self.usages.entry(view.entry.target.clone()).or_default();
            let used = usage.stored_bytes(now) + usage.reserved_bytes;
            free_storage_bytes = free_storage_bytes.saturating_add(spec.storage_bytes.saturating_sub(used));
        }
        free_storage_bytes.saturating_sub(self.started_stages.values().sum())
    }

    /// Returns the storage that the results of the pending pieces will occupy, by stage.
    fn stage_bytes(&self) -> BTreeMap<StageKey, u64> {
        let mut bytes: BTreeMap<StageKey, u64> = BTreeMap::new();
        for piece in self.pending.values() {
            *bytes.entry(stage_key(&piece.job)).or_default() += piece.job.result_bytes;
        }
        bytes
    }

    /// Returns the positions of the pieces that a call to `view` would contain now.
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
        order.sort_by_key(|(position, piece)| (service_order(position.0, &piece.job, now), position.2));
        for (position, piece) in order {
            let wanted_dc = piece.job.wanted_in.as_ref();
            let is_local = wanted_dc.is_none_or(|dc| *dc == view.entry.dc);
            let max_home_wait =
                Self::REMOTE_WAIT_PER_MEGABYTE.mul_f64(piece.job.remote_bytes as f64 / 1e6).min(Self::MAX_REMOTE_WAIT);
            let home_wait = wanted_dc.and_then(|dc| waits.get(dc));
            let may_move = home_wait.is_none_or(|home_wait| {
                home_wait.wait > max_home_wait || home_wait.free_storage_bytes < piece.job.result_bytes
            }) || now.since(piece.queued_at) > max_home_wait * 3;
            if !(is_local || may_move) || piece.job.result_bytes > free_storage_bytes {
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

    /// Returns by data centre how soon a target has processed the pieces that wait for this data centre, and the
    /// largest free storage of a target.
    fn dc_waits(&mut self, spec: &BatchSpec, targets: &[&TargetView], now: Moment) -> BTreeMap<DcName, DcWait> {
        let mut waits: BTreeMap<DcName, DcWait> = BTreeMap::new();
        for view in targets {
            let usage = self.usages.entry(view.entry.target.clone()).or_default();
            let busy = if usage.in_flight >= spec.slots.max(1) { now.until(usage.busy_until) } else { Duration::ZERO };
            let backoff = now.until(view.backoff_until).max(now.until(usage.full_until));
            let used = usage.stored_bytes(now) + usage.reserved_bytes;
            let dc_wait = waits.entry(view.entry.dc.clone()).or_insert(DcWait {
                wait: Duration::MAX,
                free_storage_bytes: 0,
                target_count: 0,
            });
            dc_wait.wait = dc_wait.wait.min(busy.max(backoff));
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
            let others = counts.get(dc).copied().unwrap_or_default().saturating_sub(1);
            let calls = others / (spec.max_pieces.max(1) * dc_wait.target_count.max(1));
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
        usage.busy_until = now + spec.call_time + spec.piece_time * pieces.len() as u32;
        CallPlan { target: view.entry.target.clone(), pieces }
    }

    /// Handles the end of a call. `outcomes` holds those of its pieces in the order of `plan`, where a missing outcome
    /// counts as failed. Failed pieces are queued again while they may be retried. Returns the final outcomes, to be
    /// reported to the requests.
    pub fn finish(
        &mut self,
        spec: &BatchSpec,
        plan: &CallPlan,
        outcomes: Vec<PieceOutcome>,
        now: Moment,
    ) -> Vec<(PieceTicket, PieceOutcome)> {
        let usage = self.usages.entry(plan.target.clone()).or_default();
        usage.in_flight = usage.in_flight.saturating_sub(1);
        let bytes: u64 = plan.pieces.iter().map(|(_, job)| job.result_bytes).sum();
        usage.reserved_bytes = usage.reserved_bytes.saturating_sub(bytes);
        let completed = outcomes.iter().filter(|outcome| outcome.is_ok()).count() as u32;
        if outcomes.contains(&Err(PieceFailure::NoRoom)) {
            usage.full_until = now + Self::FULL_BACKOFF;
        }
        for ((_, job), outcome) in plan.pieces.iter().zip(&outcomes) {
            if let Ok(result) = outcome {
                usage.stored_results.insert(result.handle.clone(), (job.result_bytes, now + spec.result_ttl));
            }
        }
        self.record_completions(completed, now);
        let mut reported = Vec::new();
        let outcomes = outcomes.into_iter().chain(std::iter::repeat(Err(PieceFailure::Failed)));
        for ((ticket, job), outcome) in plan.pieces.iter().zip(outcomes) {
            let Some(mut piece) = self.running.remove(ticket) else {
                // The request was cancelled meanwhile. Whoever gets this outcome frees the result.
                reported.push((*ticket, outcome));
                continue;
            };
            if outcome == Err(PieceFailure::NoRoom) {
                // This does not count as an attempt: the target did not start the piece.
                piece.attempts -= 1;
            }
            let is_retryable = matches!(outcome, Err(PieceFailure::NoRoom | PieceFailure::Failed));
            if is_retryable && piece.attempts < Self::MAX_ATTEMPTS && !job.is_deadline_unreachable(now) {
                self.enqueue(*ticket, piece);
            } else {
                reported.push((*ticket, outcome));
            }
        }
        reported
    }

    /// Forgets results that were freed at their targets. These targets may get pieces again at once.
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

/// Returns the time of a call with the maximum number of pieces.
fn full_call_time(spec: &BatchSpec) -> Duration {
    spec.call_time + spec.piece_time * spec.max_pieces as u32
}
