//! Tracks which prompt prefixes each engine has probably cached, from the calls of this node and the updates of peers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{NodeName, TargetName, stable_hash};
use crate::relay::choice::PromptSpec;

/// Report that a prompt was sent to an engine, which then caches all of its prefixes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptCacheUpdate {
    /// The engine.
    pub target: TargetName,
    /// Keys of the prefixes, shortest first.
    pub keys: Vec<u64>,
}

/// Cached prompt prefixes by engine.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheTable {
    /// When each prefix was last used, by engine and prefix key.
    cached: BTreeMap<TargetName, HashMap<u64, Moment>>,
    /// Updates from this node's own calls with the time of each call, for the heartbeats to peers.
    recent_updates: VecDeque<(Moment, PromptCacheUpdate)>,
    /// Recent updates from peers in the order of arrival. A hub forwards them.
    relayed_updates: VecDeque<RelayedUpdate>,
}

/// An update that a peer sent.
#[derive(Clone, Debug)]
struct RelayedUpdate {
    received_at: Moment,
    from: NodeName,
    update: PromptCacheUpdate,
}

impl PromptCacheTable {
    /// Time for which an engine is expected to keep a prefix. Engines evict the least recently used ones.
    const CACHE_TIMEOUT: Duration = Duration::from_secs(30);
    /// Time for which an update of this node is announced. Peers receive several heartbeats in this time.
    const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_500);
    /// Maximum number of updates in one heartbeat.
    const MAX_ANNOUNCED_UPDATES: usize = 200;
    /// Time after the first announcement for which a peer's update is forwarded. The peer announces it several times.
    const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
    /// Number of prefixes of an engine above which expired ones are dropped. Also the maximum number of peers' updates
    /// that are kept to be forwarded.
    const MAX_KEYS_PER_ENGINE: usize = 4_000;

    /// Records that this node sends a prompt to an engine, and keeps the update to announce it to peers.
    pub fn record_call(&mut self, prompt: &PromptSpec, target: &TargetName, now: Moment) {
        let update = PromptCacheUpdate { target: target.clone(), keys: prefix_keys(prompt) };
        self.record_update(&update, now);
        self.recent_updates.push_back((now, update));
        while self.recent_updates.len() > Self::MAX_ANNOUNCED_UPDATES
            || self.recent_updates.front().is_some_and(|(at, _)| now.since(*at) > Self::ANNOUNCE_TIMEOUT)
        {
            self.recent_updates.pop_front();
        }
    }

    /// Records that an engine has cached or used the prefixes in `update` at `now`.
    pub fn record_update(&mut self, update: &PromptCacheUpdate, now: Moment) {
        let cached = self.cached.entry(update.target.clone()).or_default();
        cached.extend(update.keys.iter().map(|key| (*key, now)));
        if cached.len() > Self::MAX_KEYS_PER_ENGINE {
            cached.retain(|_, at| now.since(*at) < Self::CACHE_TIMEOUT);
        }
    }

    /// Records the updates of a peer, and keeps them for a while to forward them.
    pub fn receive_updates(&mut self, from: &NodeName, updates: &[PromptCacheUpdate], now: Moment) {
        while self
            .relayed_updates
            .front()
            .is_some_and(|relayed| now.since(relayed.received_at) > Self::ANNOUNCE_TIMEOUT)
        {
            self.relayed_updates.pop_front();
        }
        for update in updates {
            self.record_update(update, now);
            // A peer announces an update repeatedly. Only the first announcement is kept to be forwarded.
            let is_known =
                self.relayed_updates.iter().any(|relayed| relayed.update == *update && relayed.from == *from);
            if !is_known && self.relayed_updates.len() < Self::MAX_KEYS_PER_ENGINE {
                self.relayed_updates.push_back(RelayedUpdate {
                    received_at: now,
                    from: from.clone(),
                    update: update.clone(),
                });
            }
        }
    }

    /// Returns the recent updates from the peers that `is_wanted` selects, to be forwarded by a hub.
    #[must_use]
    pub fn forwardable_updates(&self, is_wanted: impl Fn(&NodeName) -> bool, now: Moment) -> Vec<PromptCacheUpdate> {
        let recent = self
            .relayed_updates
            .iter()
            .filter(|relayed| now.since(relayed.received_at) <= Self::FORWARD_TIMEOUT && is_wanted(&relayed.from));
        recent.map(|relayed| relayed.update.clone()).collect()
    }

    /// Returns the recent updates from this node's calls, to be announced to peers.
    #[must_use]
    pub fn own_updates(&self, now: Moment) -> Vec<PromptCacheUpdate> {
        let recent = self.recent_updates.iter().filter(|(at, _)| now.since(*at) <= Self::ANNOUNCE_TIMEOUT);
        recent.map(|(_, update)| update.clone()).collect()
    }

    /// Forgets the cache of an engine that is gone or was restarted.
    pub fn remove_target(&mut self, target: &TargetName) {
        self.cached.remove(target);
    }

    /// Returns the number of tokens at the beginning of `prompt` that the engine has probably cached. `keys` are the
    /// `prefix_keys` of the prompt.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &PromptSpec, keys: &[u64], target: &TargetName, now: Moment) -> u32 {
        let Some(cached) = self.cached.get(target) else { return 0 };
        let is_cached = |key: &u64| cached.get(key).is_some_and(|at| now.since(*at) < Self::CACHE_TIMEOUT);
        let parts = prompt.parts.iter().zip(keys).take_while(|(_, key)| is_cached(key));
        parts.map(|(part, _)| part.tokens).sum()
    }
}

/// Returns the keys of the prefixes of a prompt, shortest first. Each prefix ends with one of the parts.
#[must_use]
pub fn prefix_keys(prompt: &PromptSpec) -> Vec<u64> {
    let mut key = 0_u64;
    let chained = prompt.parts.iter().map(|part| {
        key = stable_hash(&[&key.to_le_bytes(), &part.id.to_le_bytes()]);
        key
    });
    chained.collect()
}
