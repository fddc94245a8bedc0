//! Chooses the target of a call: the one with the lowest estimated cost in milliseconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, NodeName, ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::document::RelayService;
use crate::relay::members::{PeerTable, rendezvous_weight};
use crate::relay::paths::PathTable;
use crate::relay::prompts::{PromptCacheTable, prefix_keys};
use crate::relay::rollout::VersionLane;
use crate::relay::targets::{TargetRegistry, TargetView};

/// Weights of the cost estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceWeights {
    /// Prompt tokens that an engine processes per millisecond. Current engines process 50 to 64.
    pub tokens_per_ms: f64,
    /// Cost factor for shared tokens that the engine has not cached and has to process again. The cost exceeds the
    /// processing time because such tokens also evict other cached parts, delay running streams, and are billed to the
    /// users.
    pub reread_factor: f64,
    /// Cost in milliseconds of each stream that already runs on the engine. A stream adds 0.0445 ms per step and slot.
    pub stream_cost_ms: f64,
    /// Cost in milliseconds of each megabyte of stage results fetched from another data centre. Users pay for this
    /// traffic.
    pub remote_megabyte_cost_ms: f64,
    /// Cost in milliseconds of a call to another data centre: one round trip.
    pub remote_call_cost_ms: f64,
    /// Cost in milliseconds of a call that is certain to fail. The target's recent failure ratio scales it.
    pub failure_cost_ms: f64,
}

impl Default for ChoiceWeights {
    fn default() -> Self {
        Self {
            tokens_per_ms: 50.0,
            reread_factor: 3.0,
            stream_cost_ms: 4.0,
            remote_megabyte_cost_ms: 40.0,
            remote_call_cost_ms: 1.0,
            failure_cost_ms: 2_000.0,
        }
    }
}

impl ChoiceWeights {
    /// Time until the first event of a short prompt: one engine step and the network round trip.
    const FIRST_STEP_TIME: Duration = Duration::from_millis(100);
    /// Fraction of a prompt that an engine usually has to process. Shared parts are mostly cached.
    const UNCACHED_RATIO: f64 = 0.5;

    /// Returns the expected time from sending a generation request to an idle engine until its first event.
    #[must_use]
    pub fn expected_first_event_time(&self, prompt: Option<&PromptSpec>) -> Duration {
        let tokens = prompt.map_or(0.0, |prompt| f64::from(prompt.tokens()));
        Self::FIRST_STEP_TIME + Duration::from_secs_f64(tokens * Self::UNCACHED_RATIO / self.tokens_per_ms / 1e3)
    }
}

/// One part of a prompt. Requests whose prompts begin with the same parts share an engine's cache of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content. Equal content has the same identifier.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// The prompt of a generation request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSpec {
    /// Parts in order. All but the last one may occur in other prompts.
    pub parts: Vec<PromptPart>,
}

impl PromptSpec {
    /// Returns the total number of tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens in the shared parts, which are all but the last.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Returns a key for the sequence of shared parts, which are all but the last, or `None` if there are none.
    #[must_use]
    pub fn shared_prefix_key(&self) -> Option<String> {
        let (_, shared) = self.parts.split_last()?;
        let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
        (!ids.is_empty()).then(|| ids.join("."))
    }
}

/// What a call requires of its target.
#[derive(Clone, Debug)]
pub struct CallRequirements<'a> {
    /// Service to be called.
    pub service: &'a ServiceName,
    /// Targets that have already been tried for this request.
    pub avoid: &'a [TargetName],
    /// Prompt of the request if the service's targets are engines, otherwise `None`.
    pub prompt: Option<&'a PromptSpec>,
    /// Bytes of stage results that the target will fetch, by the data centre that stores them.
    pub input_bytes_by_dc: &'a BTreeMap<DcName, u64>,
    /// Whether only targets that name no limit on their requests are chosen.
    pub only_unlimited: bool,
}

/// For which nodes a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceScope {
    /// For calls of this node. Nodes that do not know each other's calls prefer the same target for a prompt.
    Node,
    /// For calls of all nodes, as a hub that knows their calls, above all those to targets of its data centre.
    Fleet,
}

/// State that the choice of a target depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    /// Known targets.
    pub targets: &'a TargetRegistry,
    /// What this node knows of its paths to them.
    pub paths: &'a PathTable,
    /// Targets without a limit on their calls, if only these are chosen.
    pub unlimited: &'a BTreeSet<TargetName>,
    /// Prompt prefixes that engines have cached.
    pub prompts: &'a PromptCacheTable,
    /// Peers, among which the callers of a cold target are chosen.
    pub members: &'a PeerTable,
    /// Settings of the service to be called, or `None` if the document has none.
    pub service: Option<&'a RelayService>,
    /// Data centres that get no new work.
    pub closed_dcs: &'a BTreeSet<DcName>,
    /// Versions that the call may go to.
    pub lane: &'a VersionLane,
    /// Name of this node.
    pub node: &'a NodeName,
    /// Data centre of this node.
    pub dc: &'a DcName,
    /// Weights of the cost estimate.
    pub weights: &'a ChoiceWeights,
    /// For which nodes the target is chosen.
    pub scope: ChoiceScope,
    /// When the target is chosen.
    pub now: Moment,
}

/// Returns the target with the lowest cost, or `None` if no target may get the call now. Targets in backoff or in
/// `avoid` are considered only if there are no others.
#[must_use]
pub fn choose_target(
    context: &ChoiceContext<'_>,
    call: &CallRequirements<'_>,
    random: &mut fastrand::Rng,
) -> Option<TargetName> {
    let eligible: Vec<&TargetView> =
        context.targets.of(call.service).filter(|view| is_eligible(context, call, view)).collect();
    let keys = call.prompt.map(prefix_keys).unwrap_or_default();
    let preferred =
        call.prompt.and_then(PromptSpec::shared_prefix_key).and_then(|key| preferred_target(&eligible, &key));
    let is_available =
        |view: &&&TargetView| !call.avoid.contains(&view.entry.target) && view.backoff_until <= context.now;
    let mut candidates: Vec<&TargetView> = eligible.iter().filter(is_available).copied().collect();
    if candidates.is_empty() {
        // All untried targets are in backoff. One of them is better than one that was tried for this request.
        candidates = eligible.iter().filter(|view| !call.avoid.contains(&view.entry.target)).copied().collect();
    }
    if candidates.is_empty() {
        candidates = eligible;
    }
    // A limit refuses no call: where no target has room under its limit, the cost decides among all.
    if candidates.iter().any(|view| has_room(context, view)) {
        candidates.retain(|view| has_room(context, view));
    }
    let costs = candidates.iter().map(|view| {
        let is_preferred = preferred.as_ref() == Some(&view.entry.target);
        let prompt_ms = call.prompt.map_or(0.0, |prompt| prompt_cost_ms(context, prompt, &keys, view, is_preferred));
        (prompt_ms + call_cost_ms(context, call, view, random.f64()), *view)
    });
    costs.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, view)| view.entry.target.clone())
}

/// Returns whether a target may get the call: the target takes calls, has an allowed version, its data centre is not
/// closed, and the rate limit for cold targets allows a call now. A limit that the target names is left to permits.
fn is_eligible(context: &ChoiceContext<'_>, call: &CallRequirements<'_>, view: &TargetView) -> bool {
    view.takes_calls(context.now)
        && (!call.only_unlimited || context.unlimited.contains(&view.entry.target))
        && context.lane.allows(&view.entry.version)
        && !context.closed_dcs.contains(&view.entry.dc)
        && has_call_capacity(context, view)
}

/// Returns whether the rate limit for cold targets allows a call from this node now. Only a few nodes call a cold
/// target, each with a minimum interval between calls, so that all nodes together stay within the limit.
fn has_call_capacity(context: &ChoiceContext<'_>, view: &TargetView) -> bool {
    let rate = context.service.map_or(0.0, |service| service.cold_rate);
    if rate <= 0.0 || !view.is_cold(context.now) {
        return true;
    }
    let caller_count = (rate.floor() as usize).max(1);
    let interval = Duration::from_secs_f64(caller_count as f64 / rate);
    let is_interval_over = view.last_cold_call.is_none_or(|last| context.now.since(last) >= interval);
    is_interval_over
        && context.members.rendezvous_position(view.entry.target.as_str(), context.node, context.now) < caller_count
}

/// Returns whether a call fits under the limit of a target that starts or recovers, if it has one.
fn has_room(context: &ChoiceContext<'_>, view: &TargetView) -> bool {
    let Some(limit) = view.start_limit() else { return true };
    match context.scope {
        // A hub knows the calls of all nodes.
        ChoiceScope::Fleet => f64::from(view.total_in_flight()) + 1.0 <= limit,
        ChoiceScope::Node => {
            let position = context.members.rendezvous_position(view.entry.target.as_str(), context.node, context.now);
            view.call_counts(position, context.now).has_room(limit)
        }
    }
}

/// Returns the preferred target for a shared prompt prefix, by rendezvous hash. Nodes with the same eligible targets
/// compute the same one, so that the prefix is usually processed by one engine only.
pub(super) fn preferred_target(eligible: &[&TargetView], key: &str) -> Option<TargetName> {
    let names = eligible.iter().map(|view| &view.entry.target);
    names.max_by_key(|name| rendezvous_weight(key, name.as_str())).cloned()
}

/// Returns the cost in milliseconds of processing a prompt at an engine, after the prompts that are queued there and
/// including the delay of the engine's other streams.
fn prompt_cost_ms(
    context: &ChoiceContext<'_>,
    prompt: &PromptSpec,
    keys: &[u64],
    view: &TargetView,
    is_preferred: bool,
) -> f64 {
    /// Extra cost of a target other than the preferred one. With it, nodes that know of no cached copy agree on one
    /// target.
    const NON_PREFERRED_COST_MS: f64 = 50.0;
    /// Cost of a target that has not cached the shared part and that a hub has kept busy all the time of late. With it,
    /// parts that no target has cached are spread evenly.
    const BUSY_COST_MS: f64 = 500.0;
    let weights = context.weights;
    let cached = context.prompts.cached_tokens(prompt, keys, &view.entry.target, context.now);
    let reread = prompt.shared_tokens().saturating_sub(cached);
    let unshared = prompt.tokens().saturating_sub(cached).saturating_sub(reread);
    let queued = view.total_pending_tokens();
    let tokens_to_read = f64::from(unshared + queued) + f64::from(reread) * weights.reread_factor;
    let preference_ms = match context.scope {
        ChoiceScope::Fleet => {
            let shared = prompt.shared_tokens();
            let uncached_ratio = if shared == 0 { 1.0 } else { f64::from(reread) / f64::from(shared) };
            BUSY_COST_MS * uncached_ratio * view.recent_busy_ratio(weights.tokens_per_ms, context.now)
        }
        ChoiceScope::Node if is_preferred => 0.0,
        ChoiceScope::Node => NON_PREFERRED_COST_MS,
    };
    tokens_to_read / weights.tokens_per_ms + f64::from(view.total_in_flight()) * weights.stream_cost_ms + preference_ms
}

/// Returns the cost of a call in milliseconds apart from its prompt. `jitter` is a random number in 0..1.
fn call_cost_ms(context: &ChoiceContext<'_>, call: &CallRequirements<'_>, view: &TargetView, jitter: f64) -> f64 {
    /// Assumed response time of a target that has not answered yet, in milliseconds.
    const DEFAULT_CALL_MS: f64 = 15.0;
    /// Cost of a target that this node does not reach itself. A call through a peer has one hop more.
    const UNREACHED_COST_MS: f64 = 20.0;
    /// Cost of a target whose calls another hub knows better.
    const OTHER_HUB_COST_MS: f64 = 20.0;
    /// Maximum random part of the cost of a call with a prompt. Targets that are equal otherwise are chosen in turn.
    const PROMPT_JITTER_MS: f64 = 2.0;
    let weights = context.weights;
    let remote_bytes: u64 =
        call.input_bytes_by_dc.iter().filter(|(dc, _)| **dc != view.entry.dc).map(|(_, bytes)| bytes).sum();
    let mut cost =
        remote_bytes as f64 / 1e6 * weights.remote_megabyte_cost_ms + view.failure_ratio * weights.failure_cost_ms;
    if view.entry.dc != *context.dc {
        cost += match context.scope {
            ChoiceScope::Node => weights.remote_call_cost_ms,
            ChoiceScope::Fleet => OTHER_HUB_COST_MS,
        };
    }
    if context.paths.is_doubtful(&view.entry.target) {
        cost += UNREACHED_COST_MS;
    }
    if call.prompt.is_some() {
        cost += PROMPT_JITTER_MS * jitter;
    } else {
        let response_ms = if view.average_first_byte_ms > 0.0 { view.average_first_byte_ms } else { DEFAULT_CALL_MS };
        let response_ms =
            response_ms * view.work_time_ratio_over(Duration::from_secs_f64(response_ms / 1e3), context.now);
        // The jitter keeps nodes with the same outdated view from all choosing the same target.
        let slots = f64::from(view.entry.slots.max(1));
        let load_per_slot =
            f64::from(view.total_in_flight()) / view.start_limit().map_or(slots, |limit| limit.min(slots));
        cost += response_ms * (1.0 + load_per_slot + 0.5 * jitter);
    }
    cost
}

impl RelayBoard {
    /// Fraction of the time for which targets decline calls over which refused callers are spread.
    const DECLINE_SPREAD_RATIO: f64 = 0.25;

    /// Returns for how long all targets of `service` decline calls from this node, or zero. Callers that were refused
    /// together are spread over the time after it.
    #[must_use]
    pub fn decline_time(&mut self, service: &ServiceName, now: Moment) -> Duration {
        let is_usable = |view: &&TargetView| !view.entry.leaving && !self.closed_dcs.contains(&view.entry.dc);
        let pauses = self.targets.of(service).filter(is_usable).map(|view| now.until(view.declines_until));
        pauses.min().unwrap_or_default().mul_f64(1.0 + Self::DECLINE_SPREAD_RATIO * self.random.f64())
    }
}
