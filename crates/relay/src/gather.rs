//! Runs the piece queues of the services that this node gathers for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::document::BatchSpec;
use wasabipier_core::relay::pieces::{CallPlan, PieceFailure, PieceJob, PieceOutcome, PieceResult, PieceTicket};
use wasabipier_core::relay::steps::AttemptEnd;
use wasabipier_core::relay::targets::{CallResult, TargetEntry, TargetView};

use crate::attempt::{self, CallGuard};
use crate::clock;
use crate::part::STAGES;
use crate::ports::RunClaim;
use crate::state::SharedNode;

/// Interval at which waiting pieces are looked at again: some may go elsewhere once they waited for a while.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// Multiple of a call's usual time after which its target counts as silent.
const SILENT_FACTOR: u32 = 4;
/// Time beyond that: connecting, and results that are fetched first.
const SILENT_SLACK: Duration = Duration::from_millis(400);

/// Requests that wait for pieces.
#[derive(Debug, Default)]
pub struct GatherWaits {
    waiters: RefCell<HashMap<(ServiceName, PieceTicket), oneshot::Sender<PieceOutcome>>>,
    work: Notify,
}

impl GatherWaits {
    fn tell(&self, service: &ServiceName, ticket: PieceTicket, end: PieceOutcome) -> Option<PieceOutcome> {
        let waiter = self.waiters.borrow_mut().remove(&(service.clone(), ticket));
        match waiter {
            Some(waiter) => waiter.send(end).err(),
            None => Some(end),
        }
    }

    /// Has the queues looked at: targets or pieces have changed.
    pub fn wake(&self) {
        self.work.notify_one();
    }
}

/// Drops a piece that is still waited for when its request ends.
struct PieceWait {
    node: SharedNode,
    service: ServiceName,
    ticket: PieceTicket,
    end: oneshot::Receiver<PieceOutcome>,
}

impl Drop for PieceWait {
    fn drop(&mut self) {
        let waited = self.node.waits.waiters.borrow_mut().remove(&(self.service.clone(), self.ticket));
        if waited.is_some() {
            self.node.board.borrow_mut().pieces.queue_mut(&self.service).cancel(self.ticket);
        }
    }
}

/// Makes pieces here, in calls shared with others.
pub async fn make_here(node: &SharedNode, service: &ServiceName, jobs: Vec<PieceJob>) -> Vec<PieceOutcome> {
    let now = clock::now();
    let mut waits = Vec::new();
    for job in jobs {
        let (sender, end) = oneshot::channel();
        let ticket = node.board.borrow_mut().pieces.queue_mut(service).push(job, now);
        node.waits.waiters.borrow_mut().insert((service.clone(), ticket), sender);
        waits.push(PieceWait { node: node.clone(), service: service.clone(), ticket, end });
    }
    plan_calls(node, service);
    node.waits.wake();
    let mut ends = Vec::new();
    for wait in &mut waits {
        ends.push((&mut wait.end).await.unwrap_or(Err(PieceFailure::Failed)));
    }
    ends
}

/// Looks at the queues until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        node.waits.work.notified().await;
        loop {
            let busy = node.board.borrow().pieces.busy();
            if busy.is_empty() {
                break;
            }
            for service in &busy {
                plan_calls(&node, service);
            }
            sleep(LOOK_AGAIN).await;
        }
    }
}

/// Begins every call that can begin now.
fn plan_calls(node: &SharedNode, service: &ServiceName) {
    let now = clock::now();
    let late = node.board.borrow_mut().pieces.queue_mut(service).take_expired(now);
    for ticket in late {
        node.waits.tell(service, ticket, Err(PieceFailure::Late));
    }
    while let Some((plan, entry, spec)) = next_call(node, service) {
        spawn_local(run_call(node.clone(), service.clone(), spec, plan, entry));
    }
}

fn next_call(node: &SharedNode, service: &ServiceName) -> Option<(CallPlan, TargetEntry, BatchSpec)> {
    let mut board = node.board.borrow_mut();
    let RelayBoard { pieces, targets, index, closed, .. } = &mut *board;
    let spec = index.services.get(service)?.batch.clone()?;
    let open: Vec<&TargetView> =
        targets.of(service).filter(|view| !view.entry.leaving && !closed.contains(&view.entry.dc)).collect();
    let plan = pieces.queue_mut(service).plan(&spec, &open, clock::now())?;
    let entry = targets.get(&plan.target)?.entry.clone();
    Some((plan, entry, spec))
}

async fn run_call(node: SharedNode, service: ServiceName, spec: BatchSpec, plan: CallPlan, entry: TargetEntry) {
    let plan_service = service.clone();
    let mut guard = CallGuard::new(&node, &entry, 0);
    let usual = spec.call_time + spec.piece_time * plan.pieces.len() as u32;
    let call = timeout(usual * SILENT_FACTOR + SILENT_SLACK, call_target(&node, &plan, &entry));
    let (ends, result) = match call.await {
        Ok(Ok(ends)) => (ends, CallResult::Good(guard.took())),
        Ok(Err(result)) => (vec![Err(PieceFailure::Failed); plan.pieces.len()], result),
        Err(_) => (vec![Err(PieceFailure::Failed); plan.pieces.len()], CallResult::Broken),
    };
    guard.set_result(result);
    let made = ends.iter().filter(|end| end.is_ok()).count();
    let now = clock::now();
    if node.pace.admits(now) {
        let (target, pieces, took) = (entry.target.as_str(), plan.pieces.len(), guard.took().as_millis() as u64);
        let service = service.as_str();
        let waiting = node.board.borrow_mut().pieces.queue_mut(&plan_service).len();
        let away = plan.pieces.iter().filter(|(_, job)| job.wanted_in.as_ref().is_some_and(|dc| *dc != entry.dc));
        let remote_kb = away.map(|(_, job)| job.remote_bytes).sum::<u64>() / 1_000;
        info!("{STAGES} call ended.", kv: { service, target, pieces, made, remote_kb, waiting, took_ms = took });
    }
    drop(guard);
    let told = node.board.borrow_mut().pieces.queue_mut(&service).finish(&spec, &plan, ends, now);
    let mut unclaimed = Vec::new();
    for (ticket, end) in told {
        if let Some(Ok(result)) = node.waits.tell(&service, ticket, end) {
            unclaimed.push(result.handle);
        }
    }
    if !unclaimed.is_empty() {
        free_here(&node, &service, &unclaimed);
    }
    plan_calls(&node, &service);
    node.waits.wake();
}

async fn call_target(node: &SharedNode, plan: &CallPlan, entry: &TargetEntry) -> Result<Vec<PieceOutcome>, CallResult> {
    let now = clock::now();
    let jobs: Vec<_> = plan.pieces.iter().map(|(_, job)| (job, now.until(job.deadline))).collect();
    let request = node.port.pieces_request(entry, &jobs);
    let answer = attempt::exchange(node, entry, request, false).await;
    let mut answer = answer.map_err(|end| attempt::call_result(end, None))?;
    match answer.head.claim {
        RunClaim::Misdirected => return Err(CallResult::Replaced),
        RunClaim::NotRun | RunClaim::InputsGone => return Err(CallResult::Full),
        RunClaim::MayHaveRun => {}
    }
    if !answer.status.is_success() {
        return Err(CallResult::Faulty);
    }
    let body = attempt::read_whole(&mut answer.body).await.map_err(|_| CallResult::Broken)?;
    let ends = node.port.read_pieces(&body, jobs.len()).ok_or(CallResult::Faulty)?;
    node.pool.give_back(answer.lease, answer.head.idle_for);
    let dc = &entry.dc;
    Ok(ends.into_iter().map(|end| end.map(|handle| PieceResult { handle, dc: dc.clone() })).collect())
}

/// Gives results of pieces gathered here up.
pub fn free_here(node: &SharedNode, service: &ServiceName, handles: &[Arc<str>]) {
    node.board.borrow_mut().pieces.queue_mut(service).forget_results(handles);
    let mut by_target: HashMap<String, (TargetEntry, Vec<Arc<str>>)> = HashMap::new();
    let board = node.board.borrow();
    for handle in handles {
        let address = node.port.result_address(handle);
        // A maker that is gone has taken its results along.
        let Some(view) = board.targets.of(service).find(|view| Some(view.entry.address) == address) else { continue };
        let entry = by_target.entry(view.entry.target.to_string());
        entry.or_insert_with(|| (view.entry.clone(), Vec::new())).1.push(handle.clone());
    }
    drop(board);
    for (entry, handles) in by_target.into_values() {
        spawn_local(send_free(node.clone(), entry, handles));
    }
    node.waits.wake();
}

async fn send_free(node: SharedNode, entry: TargetEntry, handles: Vec<Arc<str>>) {
    let request = node.port.free_request(&entry, &handles);
    let freed = async {
        let mut answer = attempt::exchange(&node, &entry, request, false).await?;
        attempt::read_whole(&mut answer.body).await?;
        node.pool.give_back(answer.lease, answer.head.idle_for);
        Ok::<(), AttemptEnd>(())
    };
    // A result that is not freed is dropped by its maker later.
    if !matches!(timeout(SILENT_SLACK, freed).await, Ok(Ok(()))) && node.pace.admits(clock::now()) {
        let (target, handles) = (entry.target.as_str(), handles.len());
        info!("{STAGES} results were not freed; their maker drops them later.", kv: { target, handles });
    }
}
