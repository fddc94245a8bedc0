//! Targets whose process ends and starts again under the same entry, as while the store is away.
//!
//! A process that has just started is cold, and a new entry tells for how long. Until one comes, a target that accepts
//! connections again after its process has ended is taken to be as cold as one that has just started, unless it answers
//! that it is not.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::refusals::RefusalEvidence;
use crate::relay::targets::TargetEntry;

/// What this node knows of the process of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// It is the one that wrote the entry, as far as is known.
    #[default]
    Registered,
    /// It has ended.
    Ended,
    /// Another one has started, and has written no entry yet.
    Restarted,
}

impl RelayBoard {
    /// Time for which the entry of a process that has started is waited for before its target is asked.
    pub const ENTRY_TIME: Duration = Duration::from_secs(1);

    /// Returns whether cold targets of `service` get calls at a limited rate.
    #[must_use]
    pub fn limits_cold_calls(&self, service: &ServiceName) -> bool {
        self.index.services.get(service).is_some_and(|settings| settings.cold_rate > 0.0)
    }

    /// Returns the path at which targets of `service` tell of their health, if they do.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<Arc<str>> {
        self.index.services.get(service)?.health_path.clone()
    }

    /// Begins a check whether the process of a target has ended that this node could not connect to just now, and returns
    /// whether there is one to make: calls depend on it, the end is not known yet, and no other check of the target runs.
    /// A target that only did not answer in time may end later, so that each failed attempt asks for a check.
    #[must_use]
    pub fn begin_process_check(&mut self, entry: &TargetEntry) -> bool {
        let is_wanted = !entry.leaving && self.limits_cold_calls(&entry.service);
        let Some(view) = self.targets.incarnation_mut(entry).filter(|_| is_wanted) else { return false };
        let is_due = !view.is_process_checked && view.process != ProcessState::Ended;
        view.is_process_checked |= is_due;
        is_due
    }

    /// Records what a check has shown that [`Self::begin_process_check`] has begun. Returns whether the process
    /// has ended.
    pub fn finish_process_check(&mut self, entry: &TargetEntry, evidence: RefusalEvidence) -> bool {
        let Some(view) = self.targets.incarnation_mut(entry) else { return false };
        view.is_process_checked = false;
        if evidence.shows_end() {
            view.process = ProcessState::Ended;
        }
        evidence.shows_end()
    }

    /// Records that a target accepts connections. If its process has ended before, it counts as cold from now on, and the
    /// time is returned after which this node asks it how long it stays so. The nodes ask one after the other, at the rate
    /// of calls that the service allows to cold targets.
    pub fn record_accepting(&mut self, target: &TargetName, now: Moment) -> Option<Duration> {
        let view = self.targets.get_mut(target).filter(|view| view.process == ProcessState::Ended)?;
        let service = self.index.services.get(&view.entry.service).filter(|service| service.cold_rate > 0.0);
        view.record_restart(service.map_or(Duration::ZERO, |service| service.warm_up), now);
        let service = service?;
        let position = self.members.rendezvous_position(target.as_str(), &self.identity.node, now);
        Some(Self::ENTRY_TIME + Duration::from_secs_f64(position as f64 / service.cold_rate))
    }

    /// Returns whether a process has started under `entry` that has written no entry yet and counts as cold.
    #[must_use]
    pub fn is_restarted(&self, entry: &TargetEntry, now: Moment) -> bool {
        let view = self.targets.get(&entry.target).filter(|view| view.entry.is_same_incarnation(entry));
        view.is_some_and(|view| view.process == ProcessState::Restarted && view.is_cold(now))
    }
}
