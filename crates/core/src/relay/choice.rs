//! Chooses the target of a call by one cost in milliseconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, NodeName, ServiceName, TargetName};
use crate::relay::document::RelayService;
use crate::relay::members::{MemberBook, rendezvous};
use crate::relay::prompts::{PromptBook, chain_keys};
use crate::relay::targets::{TargetBook, TargetView};

/// Weights of the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceWeights {
    /// Prompt tokens that an engine reads in a millisecond; source: today's engines read 50 to 64.
    pub tokens_per_ms: f64,
    /// How much dearer than its time it is to read a shared part again: it also takes memory from other parts and
    /// delays the streams beside it, and the users pay for it.
    pub reread_factor: f64,
    /// Cost of a running stream on the same engine, in milliseconds; source: 0.0445 ms a step and slot.
    pub stream_ms: f64,
    /// Cost of a megabyte of results from another data centre, in milliseconds: the users pay for such bytes.
    pub remote_mb_ms: f64,
    /// Cost of a call to another data centre, in milliseconds: there and back.
    pub remote_call_ms: f64,
    /// Cost of a call that is sure to fail, in milliseconds; scaled by the share that failed lately.
    pub fault_ms: f64,
}

impl Default for ChoiceWeights {
    fn default() -> Self {
        Self {
            tokens_per_ms: 50.0,
            reread_factor: 3.0,
            stream_ms: 4.0,
            remote_mb_ms: 40.0,
            remote_call_ms: 1.0,
            fault_ms: 2_000.0,
        }
    }
}

impl ChoiceWeights {
    /// Time of an engine's step and of the ways to it, until the first event of a short prompt.
    const FIRST_STEP: Duration = Duration::from_millis(100);
    /// Part of a prompt that an engine usually has to read: shared parts are mostly kept.
    const USUALLY_READ: f64 = 0.5;

    /// Usual time from sending a generation to its first event.
    #[must_use]
    pub fn first_event(&self, prompt: Option<&PromptSpec>) -> Duration {
        let tokens = prompt.map_or(0.0, |prompt| f64::from(prompt.tokens()));
        Self::FIRST_STEP + Duration::from_secs_f64(tokens * Self::USUALLY_READ / self.tokens_per_ms / 1e3)
    }
}

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The prompt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSpec {
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

impl PromptSpec {
    /// All tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the parts before the last, which other requests have too.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Name of the shared parts together.
    #[must_use]
    pub fn shared_key(&self) -> Option<String> {
        let (_, shared) = self.parts.split_last()?;
        let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
        (!ids.is_empty()).then(|| ids.join("."))
    }
}

/// Which call a target is wanted for.
#[derive(Clone, Debug)]
pub struct CallWish<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Targets that failed the request already.
    pub avoid: &'a [TargetName],
    /// Its prompt, for engines.
    pub prompt: Option<&'a PromptSpec>,
    /// Bytes of results that the target will fetch, by data centre.
    pub inputs: &'a BTreeMap<DcName, u64>,
}

/// What the choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceScene<'a> {
    /// Targets.
    pub targets: &'a TargetBook,
    /// Prompts that engines have read.
    pub prompts: &'a PromptBook,
    /// Nodes.
    pub members: &'a MemberBook,
    /// The service's settings, if the document has it.
    pub service: Option<&'a RelayService>,
    /// Data centres that get no new work.
    pub closed: &'a BTreeSet<DcName>,
    /// This node.
    pub node: &'a NodeName,
    /// Its data centre.
    pub dc: &'a DcName,
    /// Weights.
    pub weights: &'a ChoiceWeights,
    /// Now.
    pub now: Moment,
}

/// Chooses the cheapest target; none if no target may get new work.
#[must_use]
pub fn choose_target(scene: &ChoiceScene<'_>, wish: &CallWish<'_>, random: &mut fastrand::Rng) -> Option<TargetName> {
    let open: Vec<&TargetView> = scene.targets.of(wish.service).filter(|view| is_open(scene, view)).collect();
    let keys = wish.prompt.map(chain_keys).unwrap_or_default();
    let home = wish.prompt.and_then(PromptSpec::shared_key).and_then(|key| prompt_home(&open, &key));
    let fresh = |view: &&&TargetView| !wish.avoid.contains(&view.entry.target) && view.resting_until <= scene.now;
    let mut candidates: Vec<&TargetView> = open.iter().filter(fresh).copied().collect();
    if candidates.is_empty() {
        // All have failed lately: better one of those than none.
        candidates = open.iter().filter(|view| !wish.avoid.contains(&view.entry.target)).copied().collect();
    }
    if candidates.is_empty() {
        candidates = open;
    }
    let costs = candidates.iter().map(|view| {
        let at_home = home.as_ref() == Some(&view.entry.target);
        let prompt_ms = wish.prompt.map_or(0.0, |prompt| prompt_cost_ms(scene, prompt, &keys, view, at_home));
        (prompt_ms + cost_ms(scene, wish, view, random.f64()), *view)
    });
    costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, view)| view.entry.target.clone())
}

/// Whether new work may go to a target at all.
fn is_open(scene: &ChoiceScene<'_>, view: &TargetView) -> bool {
    !view.entry.leaving && !scene.closed.contains(&view.entry.dc) && bears_call(scene, view)
}

/// Whether a target bears one more call of this node now: a cold one is called by a few nodes, each at an interval.
fn bears_call(scene: &ChoiceScene<'_>, view: &TargetView) -> bool {
    let rate = scene.service.map_or(0.0, |service| service.cold_rate);
    if rate <= 0.0 || !view.is_cold(scene.now) {
        return true;
    }
    let callers = (rate.floor() as usize).max(1);
    let interval = Duration::from_secs_f64(callers as f64 / rate);
    let rested = view.last_cold_call.is_none_or(|last| scene.now.since(last) >= interval);
    rested && scene.members.place(view.entry.target.as_str(), scene.node, scene.now) < callers
}

/// The target that a shared prompt belongs to: every node works out the same, so that it is read once.
fn prompt_home(open: &[&TargetView], key: &str) -> Option<TargetName> {
    let names = open.iter().map(|view| &view.entry.target);
    names.max_by_key(|name| rendezvous(key, name.as_str())).cloned()
}

/// Cost of reading a prompt at an engine, and of what it delays.
fn prompt_cost_ms(scene: &ChoiceScene<'_>, prompt: &PromptSpec, keys: &[u64], view: &TargetView, at_home: bool) -> f64 {
    /// Advantage of the home, so that nodes which know of no copy yet agree on one place.
    const HOME_MS: f64 = 50.0;
    let weights = scene.weights;
    let kept = scene.prompts.kept_tokens(prompt, keys, &view.entry.target, scene.now);
    let reread = prompt.shared_tokens().saturating_sub(kept);
    let own = prompt.tokens().saturating_sub(kept).saturating_sub(reread);
    let ahead = view.unread_tokens + view.others_unread;
    let read = f64::from(own + ahead) + f64::from(reread) * weights.reread_factor;
    let away = if at_home { 0.0 } else { HOME_MS };
    read / weights.tokens_per_ms + f64::from(view.load()) * weights.stream_ms + away
}

fn cost_ms(scene: &ChoiceScene<'_>, wish: &CallWish<'_>, view: &TargetView, chance: f64) -> f64 {
    /// Time of a call to a target that has not answered yet, in milliseconds.
    const UNKNOWN_MS: f64 = 15.0;
    let weights = scene.weights;
    let remote: u64 = wish.inputs.iter().filter(|(dc, _)| **dc != view.entry.dc).map(|(_, bytes)| bytes).sum();
    let mut cost = remote as f64 / 1e6 * weights.remote_mb_ms + view.fault_share * weights.fault_ms;
    if view.entry.dc != *scene.dc {
        cost += weights.remote_call_ms;
    }
    if wish.prompt.is_none() {
        let usual = if view.usual_ms > 0.0 { view.usual_ms } else { UNKNOWN_MS };
        // Chance keeps nodes with the same stale view from all taking the same target.
        let queued = f64::from(view.load()) / f64::from(view.entry.slots.max(1));
        cost += usual * (1.0 + queued + 0.5 * chance);
    }
    cost
}
