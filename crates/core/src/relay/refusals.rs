//! Connections that are refused or not answered: tells a target that has crashed from a partition of this node, and from an
//! outage of its data centre.

use crate::clock::Moment;
use crate::relay::board::RelayBoard;
use crate::relay::suspects::CrashId;
use crate::relay::targets::{TargetEntry, TargetView};

/// What attempts to connect show after this node has not reached a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalEvidence {
    /// Whether the target refused the connection. Otherwise it did not answer in time, or this node counts as cut off.
    pub is_refused: bool,
    /// Whether this node reaches another target; `None` if it has none to try.
    pub reaches_others: Option<bool>,
    /// Whether a peer reaches the target; `None` if no peer has told.
    pub is_reached_by_peer: Option<bool>,
    /// Whether a peer that does not reach the target reaches another one.
    pub is_missed_by_witness: bool,
}

impl RefusalEvidence {
    /// Returns whether the target has crashed. A target that a peer reaches has not. A node that reaches no other target
    /// either is probably partitioned and goes by what a peer with paths sees.
    #[must_use]
    pub fn shows_crash(self) -> bool {
        let is_seen_here = self.is_refused && self.reaches_others != Some(false);
        self.is_reached_by_peer != Some(true) && (is_seen_here || self.is_missed_by_witness)
    }

    /// Returns whether the target's process has ended, and nothing that this node has lost looks like it: this node or a
    /// peer reaches another target.
    #[must_use]
    pub fn shows_end(self) -> bool {
        self.shows_crash() && (self.reaches_others == Some(true) || self.is_missed_by_witness)
    }
}

impl RelayBoard {
    /// Returns up to `max_count` random targets other than `refused` whose connections show whether this node is
    /// partitioned: those of its service that have not failed, or of all services if there is none.
    pub fn control_targets(&mut self, refused: &TargetEntry, max_count: usize) -> Vec<TargetEntry> {
        let Self { targets, paths, suspects, random, .. } = self;
        let is_control = |entry: &&TargetEntry| {
            let is_sound = !paths.has_failed(&entry.target) && !suspects.is_known_crash(CrashId::from(*entry));
            entry.target != refused.target && !entry.leaving && is_sound
        };
        let all: Vec<&TargetEntry> = targets.iter().map(|view| &view.entry).filter(is_control).collect();
        let mut controls: Vec<&TargetEntry> =
            all.iter().copied().filter(|entry| entry.service == refused.service).collect();
        if controls.is_empty() {
            controls = all;
        }
        random.shuffle(&mut controls);
        controls.into_iter().take(max_count).cloned().collect()
    }

    /// Returns up to `max_count` random targets other than `missed` that show whether a peer which does not reach it has
    /// paths: those of the same data centre first, and of the same service among them.
    pub fn witness_controls(&mut self, missed: &TargetEntry, max_count: usize, now: Moment) -> Vec<TargetEntry> {
        let mut controls = self.live_targets(missed, now);
        controls.sort_by_key(|entry| (entry.dc != missed.dc, entry.service != missed.service));
        controls.truncate(max_count);
        controls
    }

    /// Returns up to `max_count` random targets other than `missed` that show whether a peer which does not reach it has any
    /// paths: those that this node reaches and those of other data centres first, since all of one may be down.
    pub fn path_controls(&mut self, missed: &TargetEntry, max_count: usize, now: Moment) -> Vec<TargetEntry> {
        let mut controls = self.live_targets(missed, now);
        controls.sort_by_key(|entry| (self.paths.has_failed(&entry.target), entry.dc == missed.dc));
        controls.truncate(max_count);
        controls
    }

    /// Returns up to `max_count` random targets in the data centre of `crashed` that tell whether the data centre goes on,
    /// the ones of the same service first.
    pub fn outage_controls(&mut self, crashed: &TargetEntry, max_count: usize, now: Moment) -> Vec<TargetEntry> {
        let mut controls = self.live_targets(crashed, now);
        controls.retain(|entry| entry.dc == crashed.dc);
        controls.sort_by_key(|entry| entry.service != crashed.service);
        controls.truncate(max_count);
        controls
    }

    /// Returns the targets other than `excluded` that are not known to have crashed, in random order. Cold ones are left
    /// out: they may have started after an outage.
    fn live_targets(&mut self, excluded: &TargetEntry, now: Moment) -> Vec<TargetEntry> {
        let Self { targets, suspects, random, .. } = self;
        let is_live = |view: &&TargetView| {
            let (entry, is_cold) = (&view.entry, view.cold_until > now);
            let is_known_crash = suspects.is_known_crash(CrashId::from(entry));
            entry.target != excluded.target && !entry.leaving && !is_cold && !is_known_crash
        };
        let mut live: Vec<TargetEntry> = targets.iter().filter(is_live).map(|view| view.entry.clone()).collect();
        random.shuffle(&mut live);
        live
    }
}
