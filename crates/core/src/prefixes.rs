//! Estimates which targets hold which prompt prefixes in their caches.
//!
//! The sources are the targets to which a prefix was sent, and the targets' cache events, which come late and with
//! gaps. Both are hints with an age: a wrong hint costs a cache miss, never a wrong answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::event::CacheReport;
use crate::names::{InstanceId, PrefixKey, ServiceName, TargetName, stable_hash};

/// A target that may have a prefix in its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PrefixHint {
    target: TargetName,
    observed_at: Moment,
}

/// The reliability of the hints about one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TargetTrust {
    /// Instance in the target's last cache report; the default before the first.
    instance: InstanceId,
    /// Sequence number of the target's last cache report.
    sequence: u64,
    /// Hints observed before this moment are invalid, because the cache was lost.
    invalid_before: Moment,
    /// Hints observed before this moment are uncertain, because events about them may have been missed.
    uncertain_before: Moment,
}

/// The hints of each prefix, and the reliability of each target's hints.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    /// Hints of each prefix, the newest last.
    hints: BTreeMap<PrefixKey, Vec<PrefixHint>>,
    /// All prefixes, in order of their newest hint.
    by_age: BTreeSet<(Moment, PrefixKey)>,
    trust: BTreeMap<TargetName, TargetTrust>,
}

impl PrefixTable {
    /// Maximum number of prefixes. The least recently observed are evicted first.
    const MAX_PREFIXES: usize = 20_000;
    /// Maximum number of targets for one prefix.
    const MAX_TARGETS_PER_PREFIX: usize = 4;
    /// Factor by which the lifetime of an uncertain hint is shorter.
    const UNCERTAIN_LIFETIME_DIVISOR: u32 = 4;

    /// Records that `target` has a prefix in its cache, or will have it soon. Of too many targets, the one observed
    /// first is forgotten; of too many prefixes, the one observed least recently.
    pub fn record_prefix(&mut self, key: PrefixKey, target: &TargetName, observed_at: Moment) {
        let hints = self.hints.entry(key).or_default();
        if let Some(newest) = hints.last() {
            self.by_age.remove(&(newest.observed_at, key));
        }
        hints.retain(|hint| hint.target != *target);
        if hints.len() == Self::MAX_TARGETS_PER_PREFIX {
            hints.remove(0);
        }
        let observed_at = hints.last().map_or(observed_at, |newest| observed_at.max(newest.observed_at));
        hints.push(PrefixHint { target: target.clone(), observed_at });
        self.by_age.insert((observed_at, key));
        if self.by_age.len() > Self::MAX_PREFIXES
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.hints.remove(&oldest);
        }
    }

    /// Records that a target lost its whole cache, so that all its hints from before `now` are invalid.
    pub fn forget_target(&mut self, target: &TargetName, now: Moment) {
        self.trust.entry(target.clone()).or_default().invalid_before = now;
    }

    /// Records a target's cache events. A gap in their sequence makes older hints uncertain, a new instance makes them
    /// invalid. A report of the same instance that is not newer than the last one is ignored.
    pub fn record_cache_report(&mut self, target: &TargetName, report: &CacheReport, now: Moment) {
        let trust = self.trust.entry(target.clone()).or_default();
        let is_restarted = trust.instance != InstanceId::default() && trust.instance != report.instance;
        if is_restarted {
            trust.invalid_before = now;
        } else if report.sequence <= trust.sequence {
            return;
        } else if report.sequence > trust.sequence + 1 {
            trust.uncertain_before = now;
        }
        trust.instance = report.instance;
        trust.sequence = report.sequence;
        let observed_at = now - Duration::from_millis(u64::from(report.age_ms));
        for key in &report.evicted {
            self.remove_evicted(*key, target, observed_at);
        }
        for key in &report.stored {
            self.record_prefix(*key, target, observed_at);
        }
    }

    /// Returns the targets that may hold one of the prefixes in `keys`, those of the longest prefix first, and for each
    /// prefix those with the newest hint first.
    ///
    /// Hints older than `lifetime` are ignored; uncertain ones are ignored after a fraction of it.
    pub fn holders(&self, keys: &[PrefixKey], lifetime: Duration, now: Moment) -> impl Iterator<Item = &TargetName> {
        let hints = keys.iter().rev().filter_map(|key| self.hints.get(key)).flat_map(|hints| hints.iter().rev());
        hints.filter(move |hint| self.is_valid(hint, lifetime, now)).map(|hint| &hint.target)
    }

    /// Returns whether a hint is neither invalid nor too old at `now`.
    fn is_valid(&self, hint: &PrefixHint, lifetime: Duration, now: Moment) -> bool {
        let trust = self.trust.get(&hint.target).copied().unwrap_or_default();
        let lifetime = if hint.observed_at < trust.uncertain_before {
            lifetime / Self::UNCERTAIN_LIFETIME_DIVISOR
        } else {
            lifetime
        };
        hint.observed_at >= trust.invalid_before && now.since(hint.observed_at) <= lifetime
    }

    /// Removes the hint about a prefix that `target` evicted, unless the hint is newer than the eviction.
    fn remove_evicted(&mut self, key: PrefixKey, target: &TargetName, evicted_at: Moment) {
        let Some(hints) = self.hints.get_mut(&key) else { return };
        if let Some(newest) = hints.last() {
            self.by_age.remove(&(newest.observed_at, key));
        }
        hints.retain(|hint| hint.target != *target || hint.observed_at > evicted_at);
        match hints.last() {
            Some(newest) => {
                self.by_age.insert((newest.observed_at, key));
            }
            None => {
                self.hints.remove(&key);
            }
        }
    }
}

/// Returns the keys of a prompt's prefixes of 1, 2, 4 and so on up to 64 blocks of 128 bytes, the shortest first. A
/// prompt shorter than a block has none.
///
/// The prompt is `previous` and `body`, with a line break between them unless `previous` is empty. Keys of different
/// services differ.
#[must_use]
pub fn prefix_keys(service: &ServiceName, previous: &str, body: &str) -> Vec<PrefixKey> {
    const BLOCK_BYTES: usize = 128;
    const MAX_BLOCKS: usize = 64;
    let separator = if previous.is_empty() { "" } else { "\n" };
    let max_bytes = BLOCK_BYTES * MAX_BLOCKS;
    let mut prompt_start = Vec::with_capacity(max_bytes.min(previous.len() + separator.len() + body.len()));
    for part in [previous, separator, body] {
        let remaining = max_bytes - prompt_start.len();
        prompt_start.extend_from_slice(&part.as_bytes()[..part.len().min(remaining)]);
    }
    let mut hash = stable_hash(&[service.as_str().as_bytes()]);
    let mut keys = Vec::new();
    for (index, block) in prompt_start.chunks_exact(BLOCK_BYTES).enumerate() {
        hash = chain_block(hash, block);
        if (index + 1).is_power_of_two() {
            keys.push(PrefixKey(hash));
        }
    }
    keys
}

/// Returns the hash of a block chained to the hash of the preceding blocks, eight bytes at a time.
fn chain_block(previous_hash: u64, block: &[u8]) -> u64 {
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    let (words, _) = block.as_chunks::<8>();
    let mixed = words.iter().fold(previous_hash, |hash, word| {
        let product = (hash ^ u64::from_le_bytes(*word)).wrapping_mul(FACTOR);
        product ^ (product >> 32)
    });
    mixed ^ (mixed >> 29)
}
