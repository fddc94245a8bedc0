//! An index of the targets that may take a call now, by version. It may hold targets that cannot, but misses none that
//! can.
//!
//! A target that was found unable to take a call is removed from its pool, and added again when its state
//! changes. A choice therefore checks few targets however many there are, and the cost of each removal is
//! amortised over the change that added the target.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Moment;
use crate::document::Document;
use crate::names::{ServiceName, TargetName, VersionName};

/// The service and pool of a target, and the target's index in the pool while the target is ready.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetSlot {
    service: ServiceName,
    pool: usize,
    index: Option<usize>,
}

/// Targets that may be able to take a call, in one pool for each version of a service. A pool is known by its index.
#[derive(Clone, Debug, Default)]
pub struct ReadyTable {
    /// Ready targets of each pool.
    pools: Vec<Vec<TargetName>>,
    /// All targets that operators admit work to, ready or not.
    slots: BTreeMap<TargetName, TargetSlot>,
    /// Index of each version's pool.
    versions: BTreeMap<ServiceName, BTreeMap<VersionName, usize>>,
    /// Targets that were found in backoff, by the time at which the backoff ends.
    backoffs: BTreeSet<(Moment, TargetName)>,
}

impl ReadyTable {
    /// Rebuilds the index from a new document, with all targets that operators admit work to as ready.
    pub fn install(&mut self, document: &Document) {
        *self = Self::default();
        for (name, spec) in document.targets.iter().filter(|(_, spec)| document.admits(spec)) {
            let versions = self.versions.entry(spec.service.clone()).or_default();
            let next = self.pools.len();
            let pool = *versions.entry(spec.version.clone()).or_insert(next);
            if pool == next {
                self.pools.push(Vec::new());
            }
            let service = spec.service.clone();
            self.slots.insert(name.clone(), TargetSlot { service, pool, index: None });
            self.mark_ready(name);
        }
    }

    /// Returns whether operators admit work to `target`.
    #[must_use]
    pub fn admits(&self, target: &TargetName) -> bool {
        self.slots.contains_key(target)
    }

    /// Returns the targets that operators admit work to, with their services.
    pub fn admitted(&self) -> impl Iterator<Item = (&ServiceName, &TargetName)> {
        self.slots.iter().map(|(target, slot)| (&slot.service, target))
    }

    /// Returns whether a target belongs to a pool, ready or not.
    #[must_use]
    pub fn is_in_pool(&self, target: &TargetName, pool: usize) -> bool {
        self.slots.get(target).is_some_and(|slot| slot.pool == pool)
    }

    /// Returns the index of a version's pool, or `None` if operators admit work to none of its targets.
    #[must_use]
    pub fn pool_index(&self, service: &ServiceName, version: &VersionName) -> Option<usize> {
        self.versions.get(service)?.get(version).copied()
    }

    /// Returns the ready targets of an existing pool, in no particular order.
    #[must_use]
    pub fn ready_targets(&self, pool: usize) -> &[TargetName] {
        &self.pools[pool]
    }

    /// Returns whether a service has a target that may be able to take a call.
    #[must_use]
    pub fn has_ready_target(&self, service: &ServiceName) -> bool {
        self.versions.get(service).is_some_and(|pools| pools.values().any(|pool| !self.pools[*pool].is_empty()))
    }

    /// Adds a target to its pool after a change of its state. Has no effect on a ready target or one that operators
    /// admit no work to.
    pub fn mark_ready(&mut self, target: &TargetName) {
        let Some(slot) = self.slots.get_mut(target) else { return };
        if slot.index.is_none() {
            let pool = &mut self.pools[slot.pool];
            slot.index = Some(pool.len());
            pool.push(target.clone());
        }
    }

    /// Adds all targets to their pools.
    pub fn mark_all_ready(&mut self) {
        let targets: Vec<TargetName> = self.slots.keys().cloned().collect();
        for target in targets {
            self.mark_ready(&target);
        }
    }

    /// Removes a target from its pool until it is marked as ready or, if `backoff_until` is set, until that time.
    pub fn mark_not_ready(&mut self, target: &TargetName, backoff_until: Option<Moment>) {
        if let Some(until) = backoff_until {
            self.backoffs.insert((until, target.clone()));
        }
        let Some(slot) = self.slots.get_mut(target) else { return };
        let Some(index) = slot.index.take() else { return };
        let pool = &mut self.pools[slot.pool];
        pool.swap_remove(index);
        if let Some(moved) = pool.get(index).and_then(|moved| self.slots.get_mut(moved)) {
            moved.index = Some(index);
        }
    }

    /// Adds the targets whose backoff has ended to their pools.
    pub fn mark_ready_after_backoff(&mut self, now: Moment) {
        while self.backoffs.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, target)) = self.backoffs.pop_first() {
                self.mark_ready(&target);
            }
        }
    }
}
