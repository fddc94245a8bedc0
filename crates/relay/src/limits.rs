//! Keeps to the limits that targets name on their requests: records them, and gets permits for limited targets.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::{debug, info};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::brittle::{LeaseEnd, LeaseId, RejectTolerance};
use wasabipier_core::relay::rate_limits::{PermitAnswer, PermitRequest, RequestRate};
use wasabipier_core::relay::targets::TargetEntry;
use wasabipier_wire::relay::{WireCall, WireReply, permit_from_wire};

use crate::clock;
use crate::log_prefixes::TARGETS;
use crate::metering;
use crate::peers::{self, PeerError};
use crate::state::SharedNode;

/// Timeout of the keeper's answer. It is below the shortest latency objectives.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of the answer if only room of brittle targets is asked for. Nodes that do not wait for a busy keeper take
/// room that it gives to others.
const ROOM_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of keepers that are asked if connections to them fail.
const MAX_KEEPERS: usize = 2;
/// Timeout and number of attempts to report ends of leases.
const LEASE_END_TIMEOUT: Duration = Duration::from_millis(500);
const LEASE_END_ATTEMPTS: usize = 2;
/// Time after which a caller may retry if no keeper has answered. Another node is the keeper then.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(500);

/// Records the limit that an answer of `target` named, or that it named none. `called_at` is the time of the call.
pub fn record_answer(node: &SharedNode, target: &TargetName, rate: Option<RequestRate>, called_at: Moment) {
    let now = clock::now();
    let (known, new) = {
        let mut board = node.board.borrow_mut();
        let known = board.rate_limits.get(target);
        board.rate_limits.record_answer(target, rate, called_at, now);
        (known, board.rate_limits.get(target))
    };
    if known == new {
        return;
    }
    if node.log_limiter.allows(now) {
        let per_second = new.map_or(-1.0, RequestRate::per_second);
        info!("{TARGETS} limit on requests changed.", kv: { target = target.as_str(), per_second });
    }
    // Other changes come with the next regular heartbeat.
    if known.is_none() || new.is_none() {
        node.heartbeat_now.notify_one();
    }
}

/// Records the rejections that an answer of `target` said it withstands, or that it is not brittle. `called_at` is the
/// time of the call.
pub fn record_tolerance(node: &SharedNode, target: &TargetName, tolerance: Option<RejectTolerance>, called_at: Moment) {
    let is_news = {
        let mut board = node.board.borrow_mut();
        let known = board.brittle.get(target);
        board.brittle.record_answer(target, tolerance, called_at, clock::now());
        known.is_some() != board.brittle.get(target).is_some()
    };
    if is_news {
        publish_brittle_services(node);
        node.heartbeat_now.notify_one();
    }
}

/// Logs and counts the services that became brittle or sound since the last call, also by the news of peers.
pub fn publish_brittle_services(node: &SharedNode) {
    let services = node.board.borrow().brittle_services();
    let known = node.brittle_services.replace(services.clone());
    for (service, tolerance) in &services {
        if known.get(service) != Some(tolerance) {
            let (service, rejections) = (service.as_str(), tolerance.0);
            info!("{TARGETS} service is brittle; it gets no more calls than its slots.", kv: { service, rejections });
        }
        if !known.contains_key(service) {
            metering::record_brittle_change(service.as_str(), true);
        }
    }
    for service in known.keys().filter(|service| !services.contains_key(*service)) {
        info!("{TARGETS} service is no longer brittle.", kv: { service = service.as_str() });
        metering::record_brittle_change(service.as_str(), false);
    }
}

/// A target to which a request may be sent now.
pub struct PermittedTarget {
    /// Entry of the target.
    pub entry: TargetEntry,
    /// Room that the request takes, if the target is brittle.
    pub room: Option<RoomGuard>,
}

/// Room of a brittle target that a call takes until the guard is dropped.
pub struct RoomGuard {
    node: SharedNode,
    end: LeaseEnd,
    /// Address of the node that leased the room, or `None` for this node.
    keeper: Option<SocketAddr>,
    /// Whether the target may go on with the call after its end here.
    may_run_on: bool,
}

impl RoomGuard {
    /// Returns the guard of a lease that has been granted.
    #[must_use]
    pub fn new(node: &SharedNode, target: &TargetName, lease: LeaseId, keeper: Option<SocketAddr>) -> Self {
        let end = LeaseEnd { lease, target: target.clone(), is_rejected: false };
        Self { node: node.clone(), end, keeper, may_run_on: false }
    }

    /// Sets whether the target rejected the call.
    pub fn set_rejected(&mut self, is_rejected: bool) {
        self.end.is_rejected = is_rejected;
    }

    /// Sets whether the target may go on with the call, since its connection is closed before the answer was complete.
    pub fn set_may_run_on(&mut self, may_run_on: bool) {
        self.may_run_on = may_run_on;
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        if self.may_run_on {
            let counts_from = clock::now() + LeaseEnd::ABANDONED_DELAY;
            self.node.lease_ends.push_delayed(DelayedEnd { counts_from, keeper: self.keeper, end: self.end.clone() });
        } else {
            end_lease(&self.node, self.keeper, &self.end);
        }
    }
}

/// Records the end of a lease of this node, or queues it for `keeper`.
fn end_lease(node: &SharedNode, keeper: Option<SocketAddr>, end: &LeaseEnd) {
    match keeper {
        None => record_lease_end(node, end),
        Some(keeper) => node.lease_ends.push(keeper, end.clone()),
    }
}

/// The end of a call that its target may go on with.
#[derive(Debug)]
struct DelayedEnd {
    /// When the target has noticed that the connection is closed.
    counts_from: Moment,
    keeper: Option<SocketAddr>,
    end: LeaseEnd,
}

/// Ends of leases that are to be reported to their keepers.
#[derive(Debug, Default)]
pub struct LeaseEndQueue {
    ends: RefCell<BTreeMap<SocketAddr, Vec<LeaseEnd>>>,
    /// Ends that do not count yet, in the order in which they do.
    delayed: RefCell<VecDeque<DelayedEnd>>,
    changed: Notify,
}

impl LeaseEndQueue {
    fn push(&self, keeper: SocketAddr, end: LeaseEnd) {
        self.ends.borrow_mut().entry(keeper).or_default().push(end);
        self.changed.notify_one();
    }

    fn push_delayed(&self, delayed: DelayedEnd) {
        self.delayed.borrow_mut().push_back(delayed);
        self.changed.notify_one();
    }

    /// Takes the next delayed end that counts at `now`.
    fn take_due(&self, now: Moment) -> Option<DelayedEnd> {
        self.delayed.borrow_mut().pop_front_if(|delayed| delayed.counts_from <= now)
    }

    /// Waits until an end has been queued or a delayed one counts.
    async fn wait(&self, now: Moment) {
        let next = self.delayed.borrow().front().map(|delayed| now.until(delayed.counts_from));
        tokio::select! {
            () = self.changed.notified() => {}
            () = sleep(next.unwrap_or_default()), if next.is_some() => {}
        }
    }
}

/// Ends leases until the node ends: those of this node, and at their keepers those of others.
pub async fn run(node: SharedNode) {
    loop {
        node.lease_ends.wait(clock::now()).await;
        let now = clock::now();
        while let Some(DelayedEnd { keeper, end, .. }) = node.lease_ends.take_due(now) {
            end_lease(&node, keeper, &end);
        }
        for (keeper, ends) in node.lease_ends.ends.take() {
            spawn_local(report_lease_ends(node.clone(), keeper, ends));
        }
    }
}

/// Reports ends of leases to a keeper. One that cannot be reached counts the leases until they expire.
async fn report_lease_ends(node: SharedNode, keeper: SocketAddr, ends: Vec<LeaseEnd>) {
    let call = WireCall::LeaseEnds(ends.iter().map(Into::into).collect());
    for _ in 0..LEASE_END_ATTEMPTS {
        match node.peers.call(keeper, &call, LEASE_END_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => debug!("{TARGETS} ends of leases not reported to {keeper}: {error}."),
        }
    }
}

/// Records the end of a call whose room this node has leased.
pub fn record_lease_end(node: &SharedNode, end: &LeaseEnd) {
    let now = clock::now();
    node.board.borrow_mut().record_lease_end(end, now);
    if end.is_rejected {
        metering::record_brittle_rejection();
        if node.log_limiter.allows(now) {
            info!("{TARGETS} brittle target rejected a call; it gets fewer.", kv: { target = end.target.as_str() });
        }
    }
}

/// Asks the keeper of the service's limits for a permit. Returns the target that may be called, or `None` if it has
/// been removed meanwhile.
///
/// # Errors
///
/// Returns the time after which a target is expected to take a request if none takes one now.
pub async fn request_permit(node: &SharedNode, request: &PermitRequest) -> Result<Option<PermittedTarget>, Duration> {
    let (answer, keeper) = ask_keepers(node, request).await;
    metering::record_permit(request.service.as_str(), matches!(answer, PermitAnswer::Granted(_)));
    let target = match answer {
        PermitAnswer::Granted(target) => target,
        PermitAnswer::Denied(pause) => return Err(pause),
    };
    let has_room = request.targets.iter().any(|limited| limited.target == target && limited.room.is_some());
    let room = has_room.then(|| RoomGuard::new(node, &target, request.lease, keeper));
    let entry = node.board.borrow().targets.get(&target).map(|view| view.entry.clone());
    Ok(entry.map(|entry| PermittedTarget { entry, room }))
}

/// Returns the answer to a request for a permit, and the address of the keeper that gave it, unless it was this node.
async fn ask_keepers(node: &SharedNode, request: &PermitRequest) -> (PermitAnswer, Option<SocketAddr>) {
    let asks_for_rate = request.targets.iter().any(|limited| limited.rate.is_some());
    let answer_timeout = if asks_for_rate { PERMIT_TIMEOUT } else { ROOM_TIMEOUT };
    for _ in 0..MAX_KEEPERS {
        let (keeper, address) = {
            let mut board = node.board.borrow_mut();
            let now = clock::now();
            let keeper = board.limit_keeper(&request.service, now).clone();
            match board.members.get(&keeper) {
                Some(view) if keeper != board.identity.node => (keeper, view.heartbeat.peer_address),
                _ => return (board.take_permit(request, now), None),
            }
        };
        match node.peers.call(address, &WireCall::Permit(request.into()), answer_timeout).await {
            Ok(WireReply::Permit(answer)) => {
                node.board.borrow_mut().record_permit_answer(keeper, clock::now());
                return (permit_from_wire(answer), Some(address));
            }
            // The timeout is too short to tell whether the keeper is alive.
            Ok(_) | Err(PeerError::Timeout) => {
                release_unanswered(node, request, address);
                break;
            }
            Err(error) => {
                debug!("{TARGETS} no permit from {address}: {error}.");
                release_unanswered(node, request, address);
                peers::record_unreachable(node, address, &error);
            }
        }
    }
    // A limit on the rate has no part for each node that would be of use.
    if asks_for_rate {
        return (PermitAnswer::Denied(NO_KEEPER_PAUSE), None);
    }
    (node.board.borrow_mut().take_own_share(request, clock::now()), None)
}

/// Releases the room that a keeper may have leased without this node having received its answer.
fn release_unanswered(node: &SharedNode, request: &PermitRequest, keeper: SocketAddr) {
    if let Some(limited) = request.targets.iter().find(|limited| limited.room.is_some()) {
        let target = limited.target.clone();
        node.lease_ends.push(keeper, LeaseEnd { lease: request.lease, target, is_rejected: false });
    }
}
