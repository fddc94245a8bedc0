//! Placement of prompts in a large fleet.
//!
//! Nodes that each choose an engine by late news of the others choose the same one. In a large fleet, therefore, the hub of
//! an engine's data centre chooses for all nodes: a node asks the hub of the engine that it would prefer. The hub counts
//! each of its grants as a call in flight at once, until the node tells that the prompt is read and that the call has
//! ended. What a hub holds is soft: a new hub learns the calls in flight from heartbeats.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, NodeName, ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::choice::{CallRequirements, PromptSpec, preferred_target};
use crate::relay::fleet::sum_loads;
use crate::relay::members::{CallVersion, PeerView, TargetLoad};
use crate::relay::prompts::prefix_keys;
use crate::relay::rollout::VersionLane;
use crate::relay::targets::{CallResult, TargetEntry, TargetView};

/// Identifier of a grant at the node that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId(pub u64);

/// A node's request to a hub to choose an engine for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Service to be called.
    pub service: ServiceName,
    /// Versions that the call may go to.
    pub lane: VersionLane,
    /// The prompt.
    pub prompt: PromptSpec,
    /// Targets that the node has tried for the request, or does not use now.
    pub avoid: Vec<TargetName>,
    /// Bytes of stage results that the target will fetch, by the data centre that stores them.
    pub input_bytes_by_dc: BTreeMap<DcName, u64>,
    /// Time after which the call has ended.
    pub hold_time: Duration,
    /// Node that makes the call.
    pub holder: NodeName,
}

/// An engine that a hub has chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGrant {
    /// Identifier of the grant.
    pub id: GrantId,
    /// The engine.
    pub target: TargetName,
    /// Prompt tokens that the engine has not cached.
    pub unread_tokens: u32,
    /// Prompt tokens of other calls that the engine has to read before.
    pub tokens_ahead: u32,
}

/// How a granted call ended, as evidence about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum GrantEnd {
    /// No evidence about the target.
    Unknown = 0,
    /// The target answered correctly.
    Good = 1,
    /// The target answered with a failure.
    Faulty = 2,
    /// The connection broke, the answer was none, or the target was silent.
    Broken = 3,
    /// The node could not reach the target.
    Unreachable = 4,
    /// The target reported that it is full.
    Full = 5,
}

impl From<CallResult> for GrantEnd {
    fn from(result: CallResult) -> Self {
        match result {
            CallResult::Good(_) => Self::Good,
            CallResult::Faulty => Self::Faulty,
            CallResult::Broken | CallResult::Garbled => Self::Broken,
            CallResult::Unreachable => Self::Unreachable,
            CallResult::Full => Self::Full,
            CallResult::Declined | CallResult::Replaced | CallResult::Unknown => Self::Unknown,
        }
    }
}

/// What a node tells the hub about a granted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantEvent {
    /// The target has read the prompt.
    PromptRead,
    /// The call has ended.
    Ended(GrantEnd),
}

/// Which node chooses the engine for a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementSite {
    /// This node, as a hub.
    Here,
    /// The hub with this name and address.
    Hub(NodeName, SocketAddr),
    /// Each node for itself: the fleet is small, or no hub can be asked.
    Apart,
}

#[derive(Clone, Debug)]
struct OpenGrant {
    target: TargetName,
    /// Prompt tokens that the target has not read yet.
    unread_tokens: u32,
    /// Prompt tokens that the target has to read before its answer, including those of other calls.
    tokens_to_read: u32,
    granted_at: Moment,
    holder: NodeName,
    expires_at: Moment,
}

/// Grants of this node whose calls have not ended.
#[derive(Clone, Debug, Default)]
pub struct GrantLedger {
    grants: HashMap<GrantId, OpenGrant>,
}

impl GrantLedger {
    /// Returns the number of open grants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether no grant is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Returns the calls and unread tokens of the open grants by target.
    #[must_use]
    pub fn loads(&self) -> Vec<TargetLoad> {
        let loads: Vec<TargetLoad> = self
            .grants
            .values()
            .map(|grant| TargetLoad {
                target: grant.target.clone(),
                in_flight: 1,
                pending_prompt_tokens: grant.unread_tokens,
            })
            .collect();
        sum_loads(loads.iter())
    }
}

impl RelayBoard {
    /// Returns which node chooses the engine for a call with a prompt: the hub of the data centre of the engine that is
    /// preferred for the prompt, or else of this node's data centre.
    #[must_use]
    pub fn placement_site(&self, call: &CallRequirements<'_>, now: Moment) -> PlacementSite {
        if self.is_small_fleet() {
            return PlacementSite::Apart;
        }
        let preferred_dc = call.prompt.and_then(PromptSpec::shared_prefix_key).and_then(|key| {
            let is_usable = |view: &&TargetView| view.takes_calls(now) && !self.closed_dcs.contains(&view.entry.dc);
            let usable: Vec<&TargetView> = self.targets.of(call.service).filter(is_usable).collect();
            let preferred = preferred_target(&usable, &key)?;
            self.targets.get(&preferred).map(|view| view.entry.dc.clone())
        });
        let dcs = preferred_dc.into_iter().chain([self.identity.dc.clone()]);
        let sites = dcs.filter_map(|dc| {
            let hub = self.hub(&dc, now)?;
            if *hub == self.identity.node {
                return Some(PlacementSite::Here);
            }
            let places =
                |view: &&PeerView| view.is_reachable(now) && view.heartbeat.call_version >= CallVersion::ROSTERS;
            let view = self.members.get(hub).filter(places)?;
            Some(PlacementSite::Hub(hub.clone(), view.heartbeat.peer_address))
        });
        sites.into_iter().next().unwrap_or(PlacementSite::Apart)
    }

    /// Chooses the engine for a prompt of this node or of a peer, and counts the call as in flight. Returns `None` if no
    /// target may get the call now.
    pub fn grant_placement(&mut self, request: &PlacementRequest, now: Moment) -> Option<PlacementGrant> {
        let call = CallRequirements {
            service: &request.service,
            avoid: &request.avoid,
            prompt: Some(&request.prompt),
            input_bytes_by_dc: &request.input_bytes_by_dc,
            only_unlimited: false,
        };
        let entry = self.choose_for_fleet(&call, &request.lane, now)?;
        let target = entry.target;
        let cached = self.prompts.cached_tokens(&request.prompt, &prefix_keys(&request.prompt), &target, now);
        self.prompts.record_call(&request.prompt, &target, now);
        let unread_tokens = request.prompt.tokens().saturating_sub(cached);
        let tokens_ahead = self.targets.get(&target).map_or(0, TargetView::total_pending_tokens);
        let id = GrantId(self.random.u64(..));
        self.targets.record_grant(&target, unread_tokens, now);
        let grant = OpenGrant {
            target: target.clone(),
            unread_tokens,
            tokens_to_read: unread_tokens.saturating_add(tokens_ahead),
            granted_at: now,
            holder: request.holder.clone(),
            expires_at: now + request.hold_time,
        };
        self.grants.grants.insert(id, grant);
        Some(PlacementGrant { id, target, unread_tokens, tokens_ahead })
    }

    /// Handles what a node tells about a granted call. A grant that has expired is ignored.
    pub fn handle_grant_event(&mut self, id: GrantId, event: GrantEvent, now: Moment) {
        match event {
            GrantEvent::PromptRead => {
                let Some(grant) = self.grants.grants.get_mut(&id) else { return };
                let tokens = std::mem::take(&mut grant.unread_tokens);
                self.targets.record_granted_prompt_read(&grant.target, tokens);
                // This node times its own calls itself.
                if grant.holder != self.identity.node {
                    let (target, sent_at, tokens) = (grant.target.clone(), grant.granted_at, grant.tokens_to_read);
                    self.record_granted_answer(&target, sent_at, tokens, now);
                }
            }
            GrantEvent::Ended(end) => {
                let Some(grant) = self.grants.grants.remove(&id) else { return };
                self.targets.record_grant_end(&grant.target, grant.unread_tokens);
                // What a node that is cut off does not reach says nothing about the target.
                let holder = self.members.get(&grant.holder);
                let is_cut_off = holder.is_some_and(|view| view.heartbeat.paths.is_cut_off);
                if !is_cut_off && grant.holder != self.identity.node {
                    self.targets.record_reported_end(&grant.target, end, now);
                }
            }
        }
    }

    /// Drops the grants whose calls must have ended, and those of nodes that are gone.
    pub(super) fn remove_expired_grants(&mut self, now: Moment) {
        if self.grants.is_empty() {
            return;
        }
        let own = &self.identity.node;
        let members = &self.members;
        let is_there = |node: &NodeName| node == own || members.get(node).is_none_or(|view| view.is_alive(now));
        let grants = self.grants.grants.iter();
        let expired = grants.filter(|(_, grant)| grant.expires_at <= now || !is_there(&grant.holder));
        let expired: Vec<GrantId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.handle_grant_event(id, GrantEvent::Ended(GrantEnd::Unknown), now);
        }
    }

    /// Returns the entry of a target that a hub has granted, or `None` if this node does not send calls to it now.
    #[must_use]
    pub fn granted_entry(&self, target: &TargetName, lane: &VersionLane, now: Moment) -> Option<TargetEntry> {
        let view = self.targets.get(target)?;
        let entry = &view.entry;
        let is_usable = view.takes_calls(now) && lane.allows(&entry.version) && !self.closed_dcs.contains(&entry.dc);
        is_usable.then(|| entry.clone())
    }

    /// Returns the targets of `service` that this node does not use now, because calls to them have failed.
    #[must_use]
    pub fn unused_targets(&self, service: &ServiceName, max_count: usize, now: Moment) -> Vec<TargetName> {
        let unused = self.targets.of(service).filter(|view| view.backoff_until > now || view.declines_until > now);
        unused.take(max_count).map(|view| view.entry.target.clone()).collect()
    }
}
