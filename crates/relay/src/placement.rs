//! Has the hubs of a large fleet choose the engines of prompts, and tells them how the calls go on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::{debug, info};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::members::{CallVersion, PeerView};
use wasabipier_core::relay::placement::{
    GrantEnd, GrantEvent, GrantId, PlacementGrant, PlacementRequest, PlacementSite,
};
use wasabipier_core::relay::targets::{CallResult, TargetEntry};
use wasabipier_wire::relay::current::{CallKind, CurrentReply, WireGrantEvents, WireGrantLoads, WirePlacement};

use crate::clock;
use crate::load_exchange;
use crate::log_prefixes::{PEERS, REQUEST};
use crate::metering;
use crate::peers;
use crate::state::SharedNode;

/// Timeout of a hub's answer. A choice by this node alone is better than a longer wait.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of hubs that are asked if connections to them fail.
const MAX_HUBS: usize = 2;
/// Time for which events of granted calls are collected for one call to the hub.
const EVENT_DELAY: Duration = Duration::from_millis(20);
/// Timeout and number of attempts to tell a hub events of granted calls.
const EVENT_TIMEOUT: Duration = Duration::from_millis(500);
const EVENT_ATTEMPTS: usize = 2;
/// Interval at which hubs tell each other the loads of their grants while there are changes.
const LOADS_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call that tells another hub the loads of grants.
const LOADS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of targets that a hub is told not to choose.
const MAX_AVOIDED_TARGETS: usize = 32;

/// The target that was chosen for a call.
pub struct PlacedCall {
    /// Entry of the target.
    pub entry: TargetEntry,
    /// The grant of the hub that chose it.
    pub grant: Option<GrantGuard>,
}

/// A granted call. When the guard is dropped, the hub that gave the grant is told that the call has ended.
pub struct GrantGuard {
    node: SharedNode,
    grant: PlacementGrant,
    /// Address of the hub, or `None` for this node.
    hub: Option<SocketAddr>,
    end: GrantEnd,
}

impl GrantGuard {
    /// Returns the prompt tokens that the target has to read first: those of this call, and those of other calls.
    #[must_use]
    pub fn tokens(&self) -> (u32, u32) {
        (self.grant.unread_tokens, self.grant.tokens_ahead)
    }

    /// Tells the hub that the target has read the prompt.
    pub fn record_prompt_read(&self) {
        self.tell(GrantEvent::PromptRead);
    }

    /// Sets how the call ends.
    pub fn set_result(&mut self, result: CallResult) {
        self.end = result.into();
    }

    fn tell(&self, event: GrantEvent) {
        match self.hub {
            None => handle_event(&self.node, self.grant.id, event),
            Some(hub) => self.node.grant_events.push(hub, (self.grant.id, event)),
        }
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.tell(GrantEvent::Ended(self.end));
    }
}

/// Events of granted calls that are to be told to hubs.
#[derive(Debug, Default)]
pub struct GrantEventQueue {
    events: RefCell<BTreeMap<SocketAddr, Vec<(GrantId, GrantEvent)>>>,
    changed: Notify,
}

impl GrantEventQueue {
    fn push(&self, hub: SocketAddr, event: (GrantId, GrantEvent)) {
        self.events.borrow_mut().entry(hub).or_default().push(event);
        self.changed.notify_one();
    }
}

/// Tells hubs the events of granted calls until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        node.grant_events.changed.notified().await;
        sleep(EVENT_DELAY).await;
        for (hub, events) in node.grant_events.events.take() {
            spawn_local(tell_events(node.clone(), hub, events));
        }
    }
}

/// Tells a hub events of granted calls. One that cannot be reached counts the calls until they must have ended.
async fn tell_events(node: SharedNode, hub: SocketAddr, events: Vec<(GrantId, GrantEvent)>) {
    let call = CallKind::GrantEvents(WireGrantEvents::new(&events));
    for _ in 0..EVENT_ATTEMPTS {
        match node.peers.call_current(hub, call.clone(), EVENT_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => debug!("{PEERS} events of granted calls not told to {hub}: {error}."),
        }
    }
}

/// Tells other hubs the loads of this node's grants, while there are changes, until the node ends.
pub async fn run_load_reports(node: SharedNode) {
    loop {
        node.grants_changed.notified().await;
        let hubs = other_hubs(&node);
        if !hubs.is_empty() {
            let loads = {
                let board = node.board.borrow();
                WireGrantLoads::new(&board.identity.node, &board.grants.loads())
            };
            for hub in hubs {
                let (node, call) = (node.clone(), CallKind::GrantLoads(loads.clone()));
                spawn_local(async move {
                    if let Err(error) = node.peers.call_current(hub, call, LOADS_TIMEOUT).await {
                        debug!("{PEERS} loads of grants not told to {hub}: {error}.");
                    }
                });
            }
        }
        sleep(LOADS_INTERVAL).await;
    }
}

/// Returns the addresses of the other hubs that read such calls, if this node is a hub.
fn other_hubs(node: &SharedNode) -> Vec<SocketAddr> {
    let (board, now) = (node.board.borrow(), clock::now());
    if board.is_small_fleet() || !board.is_hub(now) {
        return Vec::new();
    }
    let reads_loads = |view: &&PeerView| view.heartbeat.call_version >= CallVersion::ROSTERS;
    let views = board.partner_views(now).into_iter().filter(reads_loads);
    views.map(|view| view.heartbeat.peer_address).collect()
}

/// Handles an event of a call that this node has granted.
pub fn handle_event(node: &SharedNode, id: GrantId, event: GrantEvent) {
    node.board.borrow_mut().handle_grant_event(id, event, clock::now());
    node.grants_changed.notify_one();
}

/// Chooses a target for a prompt of this node or of a peer, as a hub.
pub fn grant(node: &SharedNode, request: &PlacementRequest) -> Option<PlacementGrant> {
    let grant = node.board.borrow_mut().grant_placement(request, clock::now());
    node.grants_changed.notify_one();
    metering::record_placement(if grant.is_some() { "granted" } else { "none" });
    grant
}

/// Chooses the target of a call with a prompt: in a large fleet the hub does, otherwise this node. Returns `None` if no
/// target may get the call now.
pub async fn place_call(node: &SharedNode, call: &CallRequirements<'_>, hold_time: Duration) -> Option<PlacedCall> {
    for _ in 0..MAX_HUBS {
        let site = node.board.borrow().placement_site(call, clock::now());
        let hub = match site {
            PlacementSite::Apart => {
                load_exchange::exchange_with_hub(node).await;
                break;
            }
            PlacementSite::Here => None,
            PlacementSite::Hub(_, address) => Some(address),
        };
        let Some(request) = build_request(node, call, hold_time) else { break };
        let answer = match hub {
            None => Ok(grant(node, &request)),
            Some(address) => ask_hub(node, &request, address).await,
        };
        match answer {
            Ok(Some(grant)) => {
                let guard = GrantGuard { node: node.clone(), grant, hub, end: GrantEnd::Unknown };
                let entry = node.board.borrow().granted_entry(&guard.grant.target, &request.lane, clock::now());
                match entry {
                    Some(entry) => return Some(PlacedCall { entry, grant: Some(guard) }),
                    None => log_unused(node, &guard.grant.target),
                }
                break;
            }
            // The hub's copy of a table may be older than this node's.
            Ok(None) => break,
            Err(peers::PeerError::Timeout) => {
                metering::record_placement("timeout");
                break;
            }
            Err(error) => {
                metering::record_placement("error");
                if let Some(address) = hub {
                    peers::record_unreachable(node, address, &error);
                }
            }
        }
    }
    let entry = node.board.borrow_mut().choose(call, clock::now())?;
    Some(PlacedCall { entry, grant: None })
}

fn log_unused(node: &SharedNode, target: &TargetName) {
    if node.log_limiter.allows(clock::now()) {
        info!("{REQUEST} granted target is not used; choosing another one.", kv: { target = target.as_str() });
    }
}

fn build_request(node: &SharedNode, call: &CallRequirements<'_>, hold_time: Duration) -> Option<PlacementRequest> {
    let (board, now) = (node.board.borrow(), clock::now());
    let lane = board.version_lanes(call.service, now).into_iter().next()?;
    let mut avoid = call.avoid.to_vec();
    avoid.extend(board.unused_targets(call.service, MAX_AVOIDED_TARGETS, now));
    Some(PlacementRequest {
        service: call.service.clone(),
        lane,
        prompt: call.prompt?.clone(),
        avoid,
        input_bytes_by_dc: call.input_bytes_by_dc.clone(),
        hold_time,
        holder: board.identity.node.clone(),
    })
}

async fn ask_hub(
    node: &SharedNode,
    request: &PlacementRequest,
    hub: SocketAddr,
) -> Result<Option<PlacementGrant>, peers::PeerError> {
    let call = CallKind::Place(WirePlacement::from(request));
    let CurrentReply { grant, .. } = node.peers.call_current(hub, call, PLACEMENT_TIMEOUT).await?;
    Ok(grant.map(PlacementGrant::from))
}
