//! Counts the incidents among the crashes of a part, and tells crashes at one moment that the part caused from an outage.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashId, CrashRecord, OpenCrash, SuspectChange, SuspectKey, SuspectReport, SuspectTable};
use crate::clock::Moment;

impl SuspectTable {
    /// Maximum number of parts that are remembered as sound. Those that were proven sound last stay.
    const MAX_SOUND_PARTS: usize = 1_000;

    /// Records that another target of the data centre went on after `crash`, so that no outage explains it.
    pub fn record_isolated(&mut self, crash: CrashId, now: Moment) -> SuspectChange {
        let mut is_new = false;
        for record in self.records.values_mut() {
            let Some(known) = record.crashes.get_mut(&crash).filter(|known| !known.is_isolated) else { continue };
            known.is_isolated = true;
            record.changed_at = now;
            is_new = true;
        }
        self.update_harmful(is_new, now)
    }

    /// Returns whether it may matter for the blame if `crash` is isolated: it is held against a part that no run has proven
    /// sound. Other crashes of the same moment may become known later.
    #[must_use]
    pub fn is_isolation_sought(&self, crash: CrashId, now: Moment) -> bool {
        self.records.iter().any(|(key, record)| {
            let is_open = |known: &CrashRecord| !known.is_exonerated && !known.is_isolated;
            let is_held = record.crashes.get(&crash).is_some_and(is_open);
            matches!(key, SuspectKey::Part(_)) && is_held && !self.is_known_sound(*key, now)
        })
    }

    /// Returns whether a target with this crash is known to have crashed.
    #[must_use]
    pub fn is_known_crash(&self, crash: CrashId) -> bool {
        self.records.values().any(|record| record.crashes.contains_key(&crash))
    }

    /// Returns the number of incidents among `crashes` of the part `key`, which are sorted by time.
    ///
    /// Crashes of one moment are one incident. Isolated ones count more, up to the number that makes a part harmful, if
    /// the part is in most crashes of the moment and no run has proven it sound: an outage would also break calls without
    /// the part, and a part that many calls have has been proven sound before.
    pub(super) fn count_incidents(&self, key: SuspectKey, crashes: &[OpenCrash]) -> usize {
        let moments = self.split_moments(crashes);
        let has_concurrent = moments.iter().any(|moment| moment.iter().filter(|open| open.is_isolated).count() > 1);
        if !has_concurrent || crashes.last().is_some_and(|last| self.is_known_sound(key, last.at)) {
            return moments.len();
        }
        let all = self.all_crashes();
        let extra = moments.iter().filter(|moment| self.is_in_most(moment, &all)).map(|moment| {
            let isolated_count = moment.iter().filter(|open| open.is_isolated).count();
            isolated_count.saturating_sub(usize::from(isolated_count == moment.len()))
        });
        moments.len() + extra.sum::<usize>().min(self.limits.part_incident_limit.saturating_sub(1))
    }

    /// Returns the reports for a peer that does not read which crashes are isolated. It counts crashes by time alone, so
    /// those that make a part harmful are reported as if they had come one after the other.
    #[must_use]
    pub fn reports_by_time(&self, now: Moment) -> Vec<SuspectReport> {
        let mut reports = self.reports(now);
        for report in &mut reports {
            if matches!(report.key, SuspectKey::Part(_)) && self.is_part_of_harmful(&report.key) {
                self.spread_crashes(report, now);
            }
        }
        reports
    }

    /// Increases the ages of the first crashes that are held against a part, so that they count as enough incidents.
    fn spread_crashes(&self, report: &mut SuspectReport, now: Moment) {
        let Some(record) = self.records.get(&report.key) else { return };
        let (open, limit) = (record.open_crashes(&BTreeSet::new()), self.limits.part_incident_limit);
        let Some(first) = open.first().filter(|_| self.split_moments(&open).len() < limit) else { return };
        let times = (1..limit).rev().map(|count| first.at - self.limits.incident_window * count as u32);
        let times: BTreeMap<CrashId, Moment> = open.iter().map(|open| open.crash).zip(times).collect();
        for crash in &mut report.crashes {
            crash.age = times.get(&crash.crash).map_or(crash.age, |at| now.since(*at));
        }
    }

    /// Splits crashes, which are sorted by time, into those of each moment.
    fn split_moments<'a>(&self, crashes: &'a [OpenCrash]) -> Vec<&'a [OpenCrash]> {
        let mut moments = Vec::new();
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let end = rest.partition_point(|open| open.at < first.at + self.limits.incident_window);
            let (moment, later) = rest.split_at(end);
            moments.push(moment);
            rest = later;
        }
        moments
    }

    /// Returns all known crashes, with their times.
    fn all_crashes(&self) -> BTreeMap<CrashId, Moment> {
        let mut all = BTreeMap::new();
        for (crash, known) in self.records.values().flat_map(|record| &record.crashes) {
            let at = all.entry(*crash).or_insert(known.at);
            *at = known.at.min(*at);
        }
        all
    }

    /// Returns whether the crashes of a part at one moment are most of those in `all` at that moment. No more of these
    /// count than a part can have.
    fn is_in_most(&self, moment: &[OpenCrash], all: &BTreeMap<CrashId, Moment>) -> bool {
        let Some(first) = moment.first() else { return false };
        let window = first.at..first.at + self.limits.incident_window;
        let count = all.values().filter(|at| window.contains(at)).count();
        moment.len() * 2 > count.min(Self::MAX_CRASHES)
    }

    /// Returns whether a run has proven a part sound, before its crashes or after some of them.
    fn is_known_sound(&self, key: SuspectKey, now: Moment) -> bool {
        let SuspectKey::Part(part) = key else { return false };
        let is_recent = |at: &Moment| now.since(*at) < self.limits.suspect_lifetime;
        let record = self.records.get(&key);
        self.sound_parts.get(&part).is_some_and(is_recent)
            || record.is_some_and(|record| record.crashes.values().any(|crash| crash.is_exonerated))
    }

    /// Remembers that a run has proven `key` sound, if it is a part.
    pub(super) fn record_sound_part(&mut self, key: SuspectKey, now: Moment) {
        let SuspectKey::Part(part) = key else { return };
        self.sound_parts.insert(part, now);
        if self.sound_parts.len() > Self::MAX_SOUND_PARTS {
            let oldest = self.sound_parts.iter().min_by_key(|(_, at)| **at).map(|(part, _)| *part);
            oldest.map(|part| self.sound_parts.remove(&part));
        }
    }
}
