//! Batches pieces of preparation stages into calls to targets. All nodes send the pieces of a service to one node, so
//! that pieces of different requests share calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::brittle::LeaseId;
use wasabipier_core::relay::document::BatchSpec;
use wasabipier_core::relay::pieces::{CallPlan, PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceTicket};
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::targets::{CallResult, TargetEntry, TargetView};

use crate::attempt::{self, CallGuard, OpenAnswer};
use crate::call_progress::CallProgress;
use crate::clock;
use crate::limits::RoomGuard;
use crate::log_prefixes::STAGES;
use crate::ports::RunClaim;
use crate::run_counter::RunGuard;
use crate::state::SharedNode;

/// Maximum size in bytes of what a target says of one piece, and of the rest of its answer. Decoded, an outcome can take
/// many times the memory of its text.
const MAX_OUTCOME_BYTES: usize = 4 * 1024;
/// Interval at which calls are planned while pieces are queued: after some time in the queue, a piece may go to targets
/// that were not allowed for it before.
const PLAN_INTERVAL: Duration = Duration::from_millis(10);
/// Multiple of the expected time of a call after which its target counts as silent.
const SILENCE_TIMEOUT_FACTOR: u32 = 4;
/// Time added to the timeout of a silent call, for connecting and for fetching results. It is also the timeout of a call
/// that frees results.
const CALL_TIMEOUT_SLACK: Duration = Duration::from_millis(400);
/// Time for which a call stays open to a silent target after the requests of its pieces have ended or have other results.
/// If its answer comes, its results can be freed.
const UNUSED_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a call to a silent target checks whether a request waits for its pieces.
const SILENT_CALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Requests that wait for the outcomes of pieces.
#[derive(Debug, Default)]
pub struct PieceWaiters {
    senders: RefCell<HashMap<(ServiceName, PieceTicket), oneshot::Sender<PieceOutcome>>>,
    queues_changed: Notify,
}

impl PieceWaiters {
    /// Delivers the outcome of a piece to the request that waits for it. Returns the outcome if none does.
    fn deliver(&self, service: &ServiceName, ticket: PieceTicket, outcome: PieceOutcome) -> Option<PieceOutcome> {
        let sender = self.senders.borrow_mut().remove(&(service.clone(), ticket));
        match sender {
            Some(sender) => sender.send(outcome).err(),
            None => Some(outcome),
        }
    }

    /// Wakes the task that plans calls. To be called after targets or pieces have changed.
    pub fn wake_queues(&self) {
        self.queues_changed.notify_one();
    }
}

/// Receives the outcome of a piece, and cancels the piece if its request ends before that.
struct PieceWait {
    node: SharedNode,
    service: ServiceName,
    ticket: PieceTicket,
    outcome: oneshot::Receiver<PieceOutcome>,
}

impl Drop for PieceWait {
    fn drop(&mut self) {
        let sender = self.node.piece_waiters.senders.borrow_mut().remove(&(self.service.clone(), self.ticket));
        if sender.is_some() {
            self.node.board.borrow_mut().pieces.queue_mut(&self.service).cancel(self.ticket);
        }
    }
}

/// Makes pieces in calls of this node, which combine pieces of several requests. Returns one outcome for each job, in
/// the same order.
pub async fn make_pieces_locally(node: &SharedNode, service: &ServiceName, jobs: Vec<PieceJob>) -> Vec<PieceOutcome> {
    let now = clock::now();
    let mut piece_waits = Vec::new();
    for job in jobs {
        let (sender, outcome) = oneshot::channel();
        let ticket = node.board.borrow_mut().pieces.queue_mut(service).push(job, now);
        node.piece_waiters.senders.borrow_mut().insert((service.clone(), ticket), sender);
        piece_waits.push(PieceWait { node: node.clone(), service: service.clone(), ticket, outcome });
    }
    start_calls(node, service);
    node.piece_waiters.wake_queues();
    let mut outcomes = Vec::new();
    for wait in &mut piece_waits {
        outcomes.push((&mut wait.outcome).await.unwrap_or(Err(PieceFailure::Failed)));
    }
    outcomes
}

/// Plans calls for queued pieces until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        node.piece_waiters.queues_changed.notified().await;
        loop {
            let busy = node.board.borrow().pieces.services_with_pending_pieces();
            if busy.is_empty() {
                break;
            }
            for service in &busy {
                start_calls(&node, service);
            }
            sleep(PLAN_INTERVAL).await;
        }
    }
}

/// Fails the pieces of a service that can no longer be made in time, and starts every call that can start now.
fn start_calls(node: &SharedNode, service: &ServiceName) {
    let now = clock::now();
    let expired = node.board.borrow_mut().pieces.queue_mut(service).take_expired(now);
    for ticket in expired {
        node.piece_waiters.deliver(service, ticket, Err(PieceFailure::Late));
    }
    while let Some(call) = plan_next_call(node, service) {
        spawn_local(run_call(node.clone(), service.clone(), call));
    }
}

/// A call that is to be made at once.
struct PlannedCall {
    plan: CallPlan,
    entry: TargetEntry,
    spec: BatchSpec,
    /// Time that the call is expected to take.
    expected: Duration,
    silence_timeout: Duration,
    /// Room that the call takes at a brittle target.
    room: Option<RoomGuard>,
}

/// Plans the next call for the queued pieces of a service. Returns `None` if no call can start now.
fn plan_next_call(node: &SharedNode, service: &ServiceName) -> Option<PlannedCall> {
    let (mut board, now) = (node.board.borrow_mut(), clock::now());
    let lanes = board.version_lanes(service, now);
    let within_limits = board.targets_within_limits(service, now);
    let batches_by_dc = board.batches_by_dc(service, now);
    let own_dc = board.identity.dc.clone();
    let RelayBoard { pieces, targets, index, closed_dcs: closed, .. } = &mut *board;
    let spec = index.services.get(service)?.batch.clone()?;
    let is_usable = |view: &TargetView| view.takes_calls(now) && !closed.contains(&view.entry.dc);
    let is_own_dc = |view: &TargetView| view.entry.dc == own_dc;
    // Other nodes batch the calls to targets elsewhere.
    let is_local = batches_by_dc && targets.of(service).any(|view| is_usable(view) && is_own_dc(view));
    let plan = lanes.iter().find_map(|lane| {
        let is_candidate = |view: &&TargetView| {
            let entry = &view.entry;
            let is_near = !is_local || is_own_dc(view);
            is_near && is_usable(view) && lane.allows(&entry.version) && within_limits.contains(&entry.target)
        };
        let candidates: Vec<&TargetView> = targets.of(service).filter(is_candidate).collect();
        pieces.queue_mut(service).plan(&spec, &candidates, now)
    })?;
    let entry = targets.get(&plan.target)?.entry.clone();
    board.charge_permit(service, &plan.target, now);
    let expected = spec.fixed_call_time + spec.piece_time * plan.pieces.len() as u32;
    let silence_timeout = expected * SILENCE_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK;
    let latest_deadline = plan.pieces.iter().map(|(_, job)| job.deadline).max().unwrap_or(now);
    let max_call_time = silence_timeout.max(now.until(latest_deadline)) + UNUSED_CALL_TIMEOUT;
    let lease = LeaseId(board.random.u64(..));
    let is_brittle = board.grant_room(service, &entry.target, lease, max_call_time, now);
    drop(board);
    let room = is_brittle.then(|| RoomGuard::new(node, &entry.target, lease, None));
    Some(PlannedCall { plan, entry, spec, expected, silence_timeout, room })
}

/// Runs one planned call, delivers its outcomes, and starts the calls that can start afterwards.
async fn run_call(node: SharedNode, service: ServiceName, planned: PlannedCall) {
    let PlannedCall { plan, entry, spec, expected, silence_timeout, room } = planned;
    let plan_service = service.clone();
    let mut guard = CallGuard::new(&node, &entry, &service.to_shared_str(), 0);
    guard = guard.with_room(room).with_expected_time(expected);
    let (outcomes, result) = match call_target_until_unused(&node, &service, &plan, &entry, silence_timeout).await {
        Ok(outcomes) => {
            guard.record_first_part();
            guard.record_complete();
            (outcomes, CallResult::Good(guard.elapsed()))
        }
        Err(result) => (vec![Err(PieceFailure::Failed); plan.pieces.len()], result),
    };
    guard.set_result(result);
    let made = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    let now = clock::now();
    if node.log_limiter.allows(now) {
        let (target, pieces, took) = (entry.target.as_str(), plan.pieces.len(), guard.elapsed().as_millis() as u64);
        let service = service.as_str();
        let waiting = node.board.borrow_mut().pieces.queue_mut(&plan_service).len();
        let remote = plan.pieces.iter().filter(|(_, job)| job.wanted_in.as_ref().is_some_and(|dc| *dc != entry.dc));
        let remote_kb = remote.map(|(_, job)| job.remote_bytes).sum::<u64>() / 1_000;
        info!("{STAGES} call ended.", kv: { service, target, pieces, made, remote_kb, waiting, took_ms = took });
    }
    drop(guard);
    let finished = node.board.borrow_mut().pieces.queue_mut(&service).finish(&spec, &plan, outcomes, now);
    let mut unclaimed = Vec::new();
    for (ticket, outcome) in finished {
        if let Some(Ok(result)) = node.piece_waiters.deliver(&service, ticket, outcome) {
            unclaimed.push(result.handle);
        }
    }
    if !unclaimed.is_empty() {
        free_results_locally(&node, &service, &unclaimed);
    }
    start_calls(&node, &service);
    node.piece_waiters.wake_queues();
}

/// Calls a target and returns the outcomes of the pieces. If the target is silent, its pieces are queued for another one,
/// and the call goes on while a request waits for one of them.
async fn call_target_until_unused(
    node: &SharedNode,
    service: &ServiceName,
    plan: &CallPlan,
    entry: &TargetEntry,
    silence_timeout: Duration,
) -> Result<Vec<PieceOutcome>, CallResult> {
    let mut call = pin!(call_target(node, plan, entry));
    if let Ok(ended) = timeout(silence_timeout, &mut call).await {
        return ended;
    }
    handle_silence(node, service, plan);
    tokio::select! {
        biased;
        ended = call => ended,
        () = wait_until_unused(node, service, plan) => Err(CallResult::Unknown),
    }
}

/// Records that the target of a call is silent, and queues the pieces of the call for another target.
fn handle_silence(node: &SharedNode, service: &ServiceName, plan: &CallPlan) {
    let now = clock::now();
    node.pool.close_idle(&plan.target);
    let mut board = node.board.borrow_mut();
    board.targets.record_silence(&plan.target, now);
    board.paths.record_doubt(&plan.target);
    let queued = board.pieces.queue_mut(service).queue_silent(plan, now);
    drop(board);
    if node.log_limiter.allows(now) {
        let (service, target, pieces) = (service.as_str(), plan.target.as_str(), plan.pieces.len());
        info!("{STAGES} target is silent.", kv: { service, target, pieces, queued });
    }
    start_calls(node, service);
    node.piece_waiters.wake_queues();
}

/// Waits until no request has waited for a piece of the call for some time.
async fn wait_until_unused(node: &SharedNode, service: &ServiceName, plan: &CallPlan) {
    while node.board.borrow_mut().pieces.queue_mut(service).is_used(plan) {
        sleep(SILENT_CALL_CHECK_INTERVAL).await;
    }
    sleep(UNUSED_CALL_TIMEOUT).await;
}

/// Returns an id that tells a call to a target of a stage from all others.
fn new_call_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Returns whether an answer belongs to another call than `call`: a target can answer a call twice, and the second answer
/// arrives where that to the next call on the connection is due.
fn names_other_call(answer: &OpenAnswer, call: &str) -> bool {
    answer.head.request.as_deref().is_some_and(|named| named != call)
}

async fn call_target(node: &SharedNode, plan: &CallPlan, entry: &TargetEntry) -> Result<Vec<PieceOutcome>, CallResult> {
    let now = clock::now();
    let jobs: Vec<_> = plan.pieces.iter().map(|(_, job)| (job, now.until(job.deadline))).collect();
    let call = new_call_id();
    let request = node.platform.pieces_request(entry, &call, &jobs);
    let answer = attempt::send_request(node, entry, request, &CallProgress::default(), &RunGuard::new(None)).await;
    let mut answer = answer.map_err(|outcome| attempt::call_result(outcome, None))?;
    if names_other_call(&answer, &call) {
        return Err(CallResult::Garbled);
    }
    match answer.head.claim {
        RunClaim::Misdirected => return Err(CallResult::Replaced),
        RunClaim::NotRun | RunClaim::InputsGone => return Err(CallResult::Full),
        RunClaim::MayHaveRun => {}
    }
    if !answer.status.is_success() {
        return Err(CallResult::Faulty);
    }
    let max_bytes = MAX_OUTCOME_BYTES * (jobs.len() + 1);
    let body = attempt::read_body_within(node, &mut answer, max_bytes).await;
    let body = body.map_err(|end| attempt::call_result(end, None))?;
    let outcomes = node.platform.read_pieces(&body, jobs.len()).ok_or(CallResult::Garbled)?;
    node.pool.release(answer.connection, answer.head.idle_timeout);
    let dc = &entry.dc;
    Ok(outcomes.into_iter().map(|outcome| outcome.map(|handle| PieceResult { handle, dc: dc.clone() })).collect())
}

/// Frees results of pieces that this node batched, at the targets that hold them.
pub fn free_results_locally(node: &SharedNode, service: &ServiceName, handles: &[Arc<str>]) {
    node.board.borrow_mut().pieces.queue_mut(service).forget_results(handles);
    let mut by_target: HashMap<String, (TargetEntry, Vec<Arc<str>>)> = HashMap::new();
    let now = clock::now();
    let board = node.board.borrow();
    for handle in handles {
        let address = node.platform.result_address(handle);
        // Results of a target that no longer exists are gone with it.
        let Some(view) = board.targets.of(service).find(|view| Some(view.entry.address) == address) else { continue };
        if view.declines_until > now {
            // The target drops them after their time to live.
            continue;
        }
        let entry = by_target.entry(view.entry.target.to_string());
        entry.or_insert_with(|| (view.entry.clone(), Vec::new())).1.push(handle.clone());
    }
    drop(board);
    for (entry, handles) in by_target.into_values() {
        spawn_local(send_free_request(node.clone(), entry, handles));
    }
    node.piece_waiters.wake_queues();
}

async fn send_free_request(node: SharedNode, entry: TargetEntry, handles: Vec<Arc<str>>) {
    node.board.borrow_mut().charge_permit(&entry.service, &entry.target, clock::now());
    let call = new_call_id();
    let request = node.platform.free_request(&entry, &call, &handles);
    let freed = async {
        let mut answer =
            attempt::send_request(&node, &entry, request, &CallProgress::default(), &RunGuard::new(None)).await?;
        if names_other_call(&answer, &call) {
            return Err(AttemptEnd::Garbled);
        }
        attempt::read_body_within(&node, &mut answer, MAX_OUTCOME_BYTES).await?;
        node.pool.release(answer.connection, answer.head.idle_timeout);
        Ok::<(), AttemptEnd>(())
    };
    // A result that is not freed stays at the target until its time to live ends.
    if !matches!(timeout(CALL_TIMEOUT_SLACK, freed).await, Ok(Ok(()))) && node.log_limiter.allows(clock::now()) {
        let (target, handles) = (entry.target.as_str(), handles.len());
        info!("{STAGES} results were not freed; the target drops them later.", kv: { target, handles });
    }
}
