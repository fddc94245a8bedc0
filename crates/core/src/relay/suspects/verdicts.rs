//! Determines the harmful content among the suspects, and whether it may run as a trial.

use std::collections::BTreeSet;

use super::{CrashId, HarmfulContent, OpenCrash, SuspectChange, SuspectKey, SuspectRecord, SuspectTable};
use crate::clock::Moment;

/// A suspect with the crashes that are held against it, by time.
struct Candidate {
    key: SuspectKey,
    incidents: usize,
    crashes: Vec<OpenCrash>,
}

impl Candidate {
    fn crash_ids(&self) -> BTreeSet<CrashId> {
        self.crashes.iter().map(|open| open.crash).collect()
    }
}

impl SuspectTable {
    /// Returns the harmful content that a request with the content `keys` has.
    pub fn find_harmful<'a>(&'a self, keys: &'a [SuspectKey]) -> impl Iterator<Item = &'a HarmfulContent> {
        self.harmful.iter().filter(move |content| content.is_in(keys))
    }

    /// Returns all harmful content, in the order in which it was found.
    #[must_use]
    pub fn harmful(&self) -> &[HarmfulContent] {
        &self.harmful
    }

    pub(super) fn is_part_of_harmful(&self, key: &SuspectKey) -> bool {
        self.harmful.iter().any(|content| content.keys.contains(key))
    }

    /// Returns whether one more crash would make a part among `keys` harmful, so that a retry would rather crash another
    /// target than be answered.
    #[must_use]
    pub fn is_nearly_harmful(&self, keys: &[SuspectKey]) -> bool {
        let harmful_parts = self.harmful.iter().flat_map(|content| &content.keys).filter(|key| is_part(key));
        let records = harmful_parts.filter_map(|key| self.records.get(key));
        let explained: BTreeSet<CrashId> =
            records.flat_map(|record| record.open_crashes(&BTreeSet::new())).map(|open| open.crash).collect();
        let parts = keys.iter().filter(|key| is_part(key));
        let records = parts.filter_map(|key| self.records.get(key).map(|record| (*key, record)));
        let mut incidents = records.map(|(key, record)| self.count_incidents(key, &record.open_crashes(&explained)));
        incidents.any(|count| count + 1 >= self.limits.part_incident_limit)
    }

    /// Returns whether harmful content may run once now, as a trial. If so, the pause before the next trial begins.
    pub fn try_start_trial(&mut self, content: &HarmfulContent, now: Moment) -> bool {
        let limit = match content.keys.first() {
            Some(SuspectKey::Content(_)) => self.limits.content_crash_limit,
            _ => self.limits.part_incident_limit,
        };
        let exponent = content.incidents.saturating_sub(limit).min(8) as u32;
        let pause = self.limits.trial_pause * Self::TRIAL_PAUSE_FACTOR.pow(exponent);
        let pause = pause.min(self.limits.max_trial_pause);
        let records = content.keys.iter().filter_map(|key| self.records.get(key));
        let last_crash_at = records.map(SuspectRecord::last_crash_at).max().unwrap_or_default();
        let last_trial_at = self.trials.get(&content.keys).copied().unwrap_or_default();
        if now.since(last_crash_at.max(last_trial_at).max(content.found_at)) < pause {
            return false;
        }
        self.trials.insert(content.keys.clone(), now);
        true
    }

    /// Returns the time since the last crash of which `content` is suspected in milliseconds, and these crashes, for the
    /// log.
    #[must_use]
    pub fn describe(&self, content: &HarmfulContent, now: Moment) -> (u64, String) {
        let records = content.keys.iter().filter_map(|key| self.records.get(key));
        let crashes = records.flat_map(|record| record.open_crashes(&BTreeSet::new()));
        let crashes: BTreeSet<(Moment, CrashId)> = crashes.map(|open| (open.at, open.crash)).collect();
        let age = crashes.last().map(|(at, _)| now.since(*at)).unwrap_or_default();
        let crashes: Vec<String> = crashes.into_iter().map(|(_, crash)| format!("{:x}", crash.0)).collect();
        (age.as_millis() as u64, crashes.join(","))
    }

    /// Determines the harmful content anew if there was news, and evicts suspects beyond the maximum.
    pub(super) fn update_harmful(&mut self, is_new: bool, now: Moment) -> SuspectChange {
        if !is_new {
            return SuspectChange::default();
        }
        let found = self.assess(now);
        let old = std::mem::replace(&mut self.harmful, found);
        let new = &self.harmful;
        let blamed = new.iter().filter(|content| old.iter().all(|other| other.keys != content.keys)).cloned().collect();
        let is_cleared = |content: &HarmfulContent| new.iter().all(|other| !other.is_in(&content.keys));
        let cleared = old.into_iter().filter(is_cleared).collect();
        self.evict_excess();
        SuspectChange { is_new, blamed, cleared }
    }

    /// Content that is known to be harmful explains its crashes first, then the part with the most incidents. Parts come
    /// before whole requests: a part explains the crashes of all requests that have it, and a request explains none.
    fn assess(&self, now: Moment) -> Vec<HarmfulContent> {
        let mut explained = BTreeSet::new();
        let mut found = Vec::new();
        for known in self.harmful.iter().filter(|content| content.keys.iter().all(is_part)) {
            found.extend(self.find_worst(known.keys.iter(), known.found_at, &mut explained));
        }
        while let Some(content) = self.find_worst(self.records.keys().filter(|key| is_part(key)), now, &mut explained) {
            found.push(content);
        }
        for key in self.records.keys().filter(|key| !is_part(key)) {
            let known = self.harmful.iter().find(|content| content.keys == [*key]);
            let found_at = known.map_or(now, |content| content.found_at);
            let candidate = self.harmful_candidate(*key, &explained);
            found.extend(candidate.map(|candidate| HarmfulContent {
                keys: vec![*key],
                incidents: candidate.incidents,
                found_at,
            }));
        }
        found
    }

    /// Returns the harmful part with the most incidents among `keys`, together with all parts that have the same
    /// crashes, and adds these to `explained`. Returns `None` if no part is harmful.
    fn find_worst<'a>(
        &self,
        keys: impl Iterator<Item = &'a SuspectKey>,
        found_at: Moment,
        explained: &mut BTreeSet<CrashId>,
    ) -> Option<HarmfulContent> {
        let candidates: Vec<Candidate> = keys.filter_map(|key| self.harmful_candidate(*key, explained)).collect();
        let worst = candidates.iter().max_by_key(|candidate| (candidate.incidents, candidate.crashes.len()))?;
        let crash_ids = worst.crash_ids();
        let same = candidates.iter().filter(|candidate| candidate.crash_ids() == crash_ids);
        let keys = same.map(|candidate| candidate.key).collect();
        explained.extend(crash_ids);
        Some(HarmfulContent { keys, incidents: worst.incidents, found_at })
    }

    /// Returns the suspect with its crashes, except for those in `explained`, if they make it harmful.
    fn harmful_candidate(&self, key: SuspectKey, explained: &BTreeSet<CrashId>) -> Option<Candidate> {
        let crashes = self.records.get(&key)?.open_crashes(explained);
        let (incidents, limit) = match key {
            SuspectKey::Part(_) => (self.count_incidents(key, &crashes), self.limits.part_incident_limit),
            SuspectKey::Content(_) => (crashes.len(), self.limits.content_crash_limit),
        };
        (incidents >= limit).then_some(Candidate { key, incidents, crashes })
    }
}

fn is_part(key: &SuspectKey) -> bool {
    matches!(key, SuspectKey::Part(_))
}
