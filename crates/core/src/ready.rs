//! Targets that may take a call now, by version: an index that may hold too many, never too few.
//!
//! A target that was found unable to take a call leaves its pool and comes back when something of it
//! changed. So a choice checks few targets however many there are, and each removal was paid for by
//! the change that brought the target in.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Moment;
use crate::document::Document;
use crate::names::{ServiceName, TargetName, VersionName};

/// Where a target belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReadySlot {
    service: ServiceName,
    pool: usize,
    place: Option<usize>,
}

/// Targets that may be able to take a call, by service and version.
#[derive(Clone, Debug, Default)]
pub struct ReadyTable {
    pools: Vec<Vec<TargetName>>,
    slots: BTreeMap<TargetName, ReadySlot>,
    versions: BTreeMap<ServiceName, BTreeMap<VersionName, usize>>,
    resting: BTreeSet<(Moment, TargetName)>,
}

impl ReadyTable {
    /// Takes over a new document: every target that operators admit is looked at again.
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
            self.slots.insert(name.clone(), ReadySlot { service, pool, place: None });
            self.wake(name);
        }
    }

    /// Whether operators admit work to `target`.
    #[must_use]
    pub fn admits(&self, target: &TargetName) -> bool {
        self.slots.contains_key(target)
    }

    /// Targets that operators admit work to, with their services.
    pub fn admitted(&self) -> impl Iterator<Item = (&ServiceName, &TargetName)> {
        self.slots.iter().map(|(target, slot)| (&slot.service, target))
    }

    /// Whether a target is in a pool, ready or not.
    #[must_use]
    pub fn is_of(&self, target: &TargetName, pool: usize) -> bool {
        self.slots.get(target).is_some_and(|slot| slot.pool == pool)
    }

    /// The pool of a version, if any target of it is admitted.
    #[must_use]
    pub fn pool(&self, service: &ServiceName, version: &VersionName) -> Option<usize> {
        self.versions.get(service)?.get(version).copied()
    }

    /// Targets in a pool, in no particular order.
    #[must_use]
    pub fn targets(&self, pool: usize) -> &[TargetName] {
        &self.pools[pool]
    }

    /// Whether a service has a target that may be able to take a call.
    #[must_use]
    pub fn any(&self, service: &ServiceName) -> bool {
        self.versions.get(service).is_some_and(|pools| pools.values().any(|pool| !self.pools[*pool].is_empty()))
    }

    /// Puts a target into its pool: something of it changed.
    pub fn wake(&mut self, target: &TargetName) {
        let Some(slot) = self.slots.get_mut(target) else { return };
        if slot.place.is_none() {
            let pool = &mut self.pools[slot.pool];
            slot.place = Some(pool.len());
            pool.push(target.clone());
        }
    }

    /// Puts all targets into their pools.
    pub fn wake_all(&mut self) {
        let targets: Vec<TargetName> = self.slots.keys().cloned().collect();
        for target in targets {
            self.wake(&target);
        }
    }

    /// Takes a target out of its pool, until something of it changes or its rest is over.
    pub fn sleep(&mut self, target: &TargetName, resting_until: Option<Moment>) {
        if let Some(until) = resting_until {
            self.resting.insert((until, target.clone()));
        }
        let Some(slot) = self.slots.get_mut(target) else { return };
        let Some(place) = slot.place.take() else { return };
        let pool = &mut self.pools[slot.pool];
        pool.swap_remove(place);
        if let Some(moved) = pool.get(place).and_then(|moved| self.slots.get_mut(moved)) {
            moved.place = Some(place);
        }
    }

    /// Puts back targets whose rest is over.
    pub fn wake_rested(&mut self, now: Moment) {
        while self.resting.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, target)) = self.resting.pop_first() {
                self.wake(&target);
            }
        }
    }
}
