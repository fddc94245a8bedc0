//! Content that brings down the targets that run it, known by its fingerprint under any id.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::{Fingerprint, TargetName};

/// Targets that each content has brought down.
#[derive(Clone, Debug, Default)]
pub struct HarmfulTable {
    downed: BTreeMap<Fingerprint, BTreeSet<TargetName>>,
}

impl HarmfulTable {
    /// Most contents remembered; the lowest fingerprints are forgotten first.
    const BOUND: usize = 10_000;

    /// Notes that `target` went down while it ran `content`; tells whether that is news.
    pub fn note(&mut self, content: Fingerprint, target: TargetName) -> bool {
        if self.downed.len() >= Self::BOUND && !self.downed.contains_key(&content) {
            self.downed.pop_first();
        }
        self.downed.entry(content).or_default().insert(target)
    }

    /// Targets that `content` has brought down.
    #[must_use]
    pub fn downed(&self, content: Fingerprint) -> usize {
        self.downed.get(&content).map_or(0, BTreeSet::len)
    }

    /// The targets, to tell peers.
    #[must_use]
    pub fn targets(&self, content: Fingerprint) -> Vec<TargetName> {
        self.downed.get(&content).into_iter().flatten().cloned().collect()
    }
}
