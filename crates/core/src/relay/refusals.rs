//! Refused connections: tells a target that has crashed from a partition, which may refuse this node's connections alike,
//! and from an outage of its data centre.

use crate::clock::Moment;
use crate::relay::board::RelayBoard;
use crate::relay::suspects::CrashId;
use crate::relay::targets::{TargetEntry, TargetView};

/// What attempts to connect show after a target has refused a connection of this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalEvidence {
    /// Whether this node reaches another target; `None` if it has none to try.
    pub reaches_others: Option<bool>,
    /// Whether a peer reaches the target; `None` if no peer has told.
    pub is_reached_by_peer: Option<bool>,
}

impl RefusalEvidence {
    /// Returns whether the target has crashed. A target that a peer reaches has not, and a node that reaches no other
    /// target either is probably partitioned.
    #[must_use]
    pub fn shows_crash(self) -> bool {
        self.is_reached_by_peer != Some(true) && self.reaches_others != Some(false)
    }
}

impl RelayBoard {
    /// Returns up to `max_count` random targets other than `refused` whose connections show whether this node is
    /// partitioned: those of its service that have not failed, or of all services if there is none.
    pub fn control_targets(&mut self, refused: &TargetEntry, max_count: usize) -> Vec<TargetEntry> {
        let Self { targets, paths, random, .. } = self;
        let is_control =
            |entry: &&TargetEntry| entry.target != refused.target && !entry.leaving && !paths.has_failed(&entry.target);
        let all: Vec<&TargetEntry> = targets.iter().map(|view| &view.entry).filter(is_control).collect();
        let mut controls: Vec<&TargetEntry> =
            all.iter().copied().filter(|entry| entry.service == refused.service).collect();
        if controls.is_empty() {
            controls = all;
        }
        random.shuffle(&mut controls);
        controls.into_iter().take(max_count).cloned().collect()
    }

    /// Returns up to `max_count` random targets in the data centre of `crashed` that tell whether the data centre goes on:
    /// those that are not known to have crashed, the ones of the same service first. Cold ones may have started after an
    /// outage.
    pub fn outage_controls(&mut self, crashed: &TargetEntry, max_count: usize, now: Moment) -> Vec<TargetEntry> {
        let Self { targets, suspects, random, .. } = self;
        let is_control = |view: &&TargetView| {
            let (entry, is_cold) = (&view.entry, view.cold_until > now);
            let is_other = entry.target != crashed.target && entry.dc == crashed.dc;
            is_other && !entry.leaving && !is_cold && !suspects.is_known_crash(CrashId::from(entry))
        };
        let mut controls: Vec<&TargetEntry> = targets.iter().filter(is_control).map(|view| &view.entry).collect();
        random.shuffle(&mut controls);
        controls.sort_by_key(|entry| entry.service != crashed.service);
        controls.into_iter().take(max_count).cloned().collect()
    }
}
