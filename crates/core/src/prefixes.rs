//! Which targets are likely to hold which prompt prefixes in their caches.
//!
//! Known from where a prefix was sent last and from the targets' cache events, which come late and
//! with gaps. Both are hints with an age: a wrong one costs a cache miss, never a wrong answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::event::CacheReport;
use crate::names::{InstanceId, PrefixKey, ServiceName, TargetName, stable_hash};

/// Where one prefix may be cached.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PrefixHint {
    target: TargetName,
    at: Moment,
}

/// How far the hints about one target can be trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TargetTrust {
    instance: InstanceId,
    sequence: u64,
    /// Hints from before are void: the cache was lost.
    void_before: Moment,
    /// Hints from before are in doubt: events about them may have been missed.
    doubt_before: Moment,
}

/// Hints by prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    hints: BTreeMap<PrefixKey, Vec<PrefixHint>>,
    order: BTreeSet<(Moment, PrefixKey)>,
    trust: BTreeMap<TargetName, TargetTrust>,
}

impl PrefixTable {
    /// Most prefixes remembered; the ones not used for longest are forgotten first.
    const MOST_PREFIXES: usize = 20_000;
    /// Most targets remembered for one prefix.
    const MOST_TARGETS: usize = 4;
    /// Part of its time for which a hint in doubt is used.
    const DOUBT: u32 = 4;

    /// Notes that `target` has or soon will have a prefix in its cache.
    pub fn learn(&mut self, key: PrefixKey, target: &TargetName, at: Moment) {
        let hints = self.hints.entry(key).or_default();
        if let Some(newest) = hints.last() {
            self.order.remove(&(newest.at, key));
        }
        hints.retain(|hint| hint.target != *target);
        if hints.len() == Self::MOST_TARGETS {
            hints.remove(0);
        }
        let at = hints.last().map_or(at, |newest| at.max(newest.at));
        hints.push(PrefixHint { target: target.clone(), at });
        self.order.insert((at, key));
        if self.order.len() > Self::MOST_PREFIXES
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.hints.remove(&oldest);
        }
    }

    /// Notes that a target lost its whole cache.
    pub fn forget_target(&mut self, target: &TargetName, now: Moment) {
        self.trust.entry(target.clone()).or_default().void_before = now;
    }

    /// Learns from a target's cache events.
    pub fn learn_report(&mut self, target: &TargetName, report: &CacheReport, now: Moment) {
        let trust = self.trust.entry(target.clone()).or_default();
        let restarted = trust.instance != InstanceId::default() && trust.instance != report.instance;
        if restarted {
            trust.void_before = now;
        } else if report.sequence <= trust.sequence {
            return;
        } else if report.sequence > trust.sequence + 1 {
            trust.doubt_before = now;
        }
        trust.instance = report.instance;
        trust.sequence = report.sequence;
        let at = now - Duration::from_millis(u64::from(report.age_ms));
        for key in &report.evicted {
            self.forget(*key, target, at);
        }
        for key in &report.stored {
            self.learn(*key, target, at);
        }
    }

    /// Targets that may hold one of these prefixes, the longest prefix and the newest hint first.
    pub fn holders(&self, keys: &[PrefixKey], kept: Duration, now: Moment) -> impl Iterator<Item = &TargetName> {
        let hints = keys.iter().rev().filter_map(|key| self.hints.get(key)).flat_map(|hints| hints.iter().rev());
        hints.filter(move |hint| self.holds(hint, kept, now)).map(|hint| &hint.target)
    }

    fn holds(&self, hint: &PrefixHint, kept: Duration, now: Moment) -> bool {
        let trust = self.trust.get(&hint.target).copied().unwrap_or_default();
        let kept = if hint.at < trust.doubt_before { kept / Self::DOUBT } else { kept };
        hint.at >= trust.void_before && now.since(hint.at) <= kept
    }

    /// Drops a hint that an eviction overtook; one newer than the eviction stays.
    fn forget(&mut self, key: PrefixKey, target: &TargetName, evicted: Moment) {
        let Some(hints) = self.hints.get_mut(&key) else { return };
        if let Some(newest) = hints.last() {
            self.order.remove(&(newest.at, key));
        }
        hints.retain(|hint| hint.target != *target || hint.at > evicted);
        match hints.last() {
            Some(newest) => {
                self.order.insert((newest.at, key));
            }
            None => {
                self.hints.remove(&key);
            }
        }
    }
}

/// Keys of a prompt's prefixes, of 1, 2, 4 and so on blocks; a prompt of less than a block has none.
#[must_use]
pub fn prefix_keys(service: &ServiceName, previous: &str, body: &str) -> Vec<PrefixKey> {
    const BLOCK_BYTES: usize = 128;
    const MOST_BLOCKS: usize = 64;
    let separator = if previous.is_empty() { "" } else { "\n" };
    let most = BLOCK_BYTES * MOST_BLOCKS;
    let mut start = Vec::with_capacity(most.min(previous.len() + separator.len() + body.len()));
    for part in [previous, separator, body] {
        let room = most - start.len();
        start.extend_from_slice(&part.as_bytes()[..part.len().min(room)]);
    }
    let mut hash = stable_hash(&[service.as_str().as_bytes()]);
    let mut keys = Vec::new();
    for (index, block) in start.chunks_exact(BLOCK_BYTES).enumerate() {
        hash = chain_block(hash, block);
        if (index + 1).is_power_of_two() {
            keys.push(PrefixKey(hash));
        }
    }
    keys
}

/// Hash of a block after what came before it, eight bytes at a time.
fn chain_block(before: u64, block: &[u8]) -> u64 {
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    let (words, _) = block.as_chunks::<8>();
    let mixed = words.iter().fold(before, |hash, word| {
        let product = (hash ^ u64::from_le_bytes(*word)).wrapping_mul(FACTOR);
        product ^ (product >> 32)
    });
    mixed ^ (mixed >> 29)
}
