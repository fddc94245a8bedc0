//! Suspects: content of requests that may crash the targets that begin to answer it. Content is a shared part of a
//! prompt, or a request as a whole.
//!
//! All content of a call that broke before it was proven sound is suspected when its target is found down, since any of
//! it may be the cause. A run proves its content sound by its whole answer, or by an answer that goes on for a while: a
//! target can crash right after the first part. Content that is proven sound elsewhere is exonerated of that crash. Content
//! that stays suspected of several crashes is harmful and must not run (`verdicts`). A crash that harmful content explains
//! is held against no other content.
//!
//! Crashes of several targets at one moment may also be the outage of a data centre, which breaks all calls there
//! whatever they hold. They count one by one only if other targets of their data centres go on (`moments`).
//!
//! Nodes exchange their tables. Merging is a union in which an exoneration prevails, so that order, repetition and loss
//! of messages don't matter.

mod moments;
mod verdicts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{Fingerprint, stable_hash};
use crate::relay::choice::PromptSpec;
use crate::relay::targets::TargetEntry;

/// Content that may be the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKey {
    /// A request as a whole, by the hash of host, URI, organisation and body.
    Content(Fingerprint),
    /// A shared part of a prompt, by its identifier.
    Part(u64),
}

impl std::fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Content(content) => write!(f, "content-{:x}", content.0),
            Self::Part(id) => write!(f, "part-{id:x}"),
        }
    }
}

/// Maximum number of parts of one prompt that are suspected.
const MAX_KEYS_PER_REQUEST: usize = 64;

/// Returns the suspect keys of a request: its content and the shared parts of its prompt, which are all but the last.
#[must_use]
pub fn suspect_keys(content: Fingerprint, prompt: Option<&PromptSpec>) -> Vec<SuspectKey> {
    let shared = prompt.and_then(|prompt| prompt.parts.split_last()).map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().take(MAX_KEYS_PER_REQUEST).map(|part| SuspectKey::Part(part.id));
    parts.chain([SuspectKey::Content(content)]).collect()
}

/// Identifier of a crash: the hash of a target's name and incarnation. An incarnation crashes once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl From<&TargetEntry> for CrashId {
    fn from(entry: &TargetEntry) -> Self {
        let incarnation = entry.incarnation.unwrap_or_default().to_le_bytes();
        Self(stable_hash(&[entry.target.as_str().as_bytes(), &incarnation]))
    }
}

/// One crash of which content is or was suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the content was proven sound afterwards.
    pub is_exonerated: bool,
    /// Whether another target of the data centre went on after the crash, so that it was no outage of the data centre.
    pub is_isolated: bool,
}

/// What a node knows of one suspect, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The suspect.
    pub key: SuspectKey,
    /// The crashes of which it is or was suspected.
    pub crashes: Vec<CrashReport>,
}

/// How far the run of a call has come, as far as its node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// No part of the answer has arrived.
    Waiting,
    /// The answer is incomplete. The time is that from the first to the last part that arrived.
    Answering(Duration),
    /// The answer is complete.
    Complete,
}

impl RunStage {
    /// Returns the time from the first to the last part of an answer that is incomplete.
    #[must_use]
    pub fn answering_time(self) -> Duration {
        match self {
            Self::Answering(time) => time,
            Self::Waiting | Self::Complete => Duration::ZERO,
        }
    }
}

/// Limits of the suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Number of incidents at which a part is harmful. Other content of the same calls explains one or two.
    pub part_incident_limit: usize,
    /// Number of crashed targets at which the content of a whole request is harmful. One may have crashed by chance.
    pub content_crash_limit: usize,
    /// Time for which an answer goes on until it proves its content sound. Content crashes targets that begin to run it;
    /// the end of the connection takes some round trips at most to be seen.
    pub proof_time: Duration,
    /// Crashes within this time are one incident unless they are isolated: a data centre or domain that fails takes all its
    /// targets at once.
    pub incident_window: Duration,
    /// Time after the last crash at which harmful content may run once, to find out whether it is blamed wrongly. Each
    /// further incident multiplies it by `TRIAL_PAUSE_FACTOR`.
    pub trial_pause: Duration,
    /// Maximum pause before a trial.
    pub max_trial_pause: Duration,
    /// Time after the last crash at which a suspect is forgotten.
    pub suspect_lifetime: Duration,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            part_incident_limit: 3,
            content_crash_limit: 2,
            proof_time: Duration::from_secs(1),
            incident_window: Duration::from_millis(250),
            trial_pause: Duration::from_secs(10),
            max_trial_pause: Duration::from_mins(5),
            suspect_lifetime: Duration::from_mins(10),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    at: Moment,
    is_exonerated: bool,
    is_isolated: bool,
}

/// A crash that is held against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OpenCrash {
    at: Moment,
    crash: CrashId,
    is_isolated: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: BTreeMap<CrashId, CrashRecord>,
    /// When this node last learned something new about the suspect.
    changed_at: Moment,
}

impl SuspectRecord {
    /// Returns the crashes that are held against the suspect and that no content in `explained` caused, by time.
    fn open_crashes(&self, explained: &BTreeSet<CrashId>) -> Vec<OpenCrash> {
        let open = self.crashes.iter().filter(|(crash, record)| !record.is_exonerated && !explained.contains(crash));
        let open =
            open.map(|(crash, record)| OpenCrash { at: record.at, crash: *crash, is_isolated: record.is_isolated });
        let mut open: Vec<OpenCrash> = open.collect();
        open.sort_unstable();
        open
    }

    fn report(&self, key: SuspectKey, now: Moment) -> SuspectReport {
        let crashes = self.crashes.iter().map(|(crash, known)| CrashReport {
            crash: *crash,
            age: now.since(known.at),
            is_exonerated: known.is_exonerated,
            is_isolated: known.is_isolated,
        });
        SuspectReport { key, crashes: crashes.collect() }
    }

    fn last_crash_at(&self) -> Moment {
        self.crashes.values().map(|record| record.at).max().unwrap_or_default()
    }

    /// Drops the oldest crash of which the suspect is exonerated if there are more than `MAX_CRASHES`, or else the
    /// newest: the older ones suffice.
    fn limit_crashes(&mut self) {
        while self.crashes.len() > SuspectTable::MAX_CRASHES {
            let exonerated = self.crashes.iter().filter(|(_, record)| record.is_exonerated);
            let oldest = exonerated.min_by_key(|(_, record)| record.at).map(|(crash, _)| *crash);
            let newest = || self.crashes.iter().max_by_key(|(_, record)| record.at).map(|(crash, _)| *crash);
            let Some(dropped) = oldest.or_else(newest) else { return };
            self.crashes.remove(&dropped);
        }
    }
}

/// Content that crashes targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HarmfulContent {
    /// The content, sorted. Of several keys at least one crashes targets, and nothing tells them apart: they were in the
    /// same crashed calls. A request is harmful if it has all of them.
    pub keys: Vec<SuspectKey>,
    /// Number of incidents that the content caused.
    pub incidents: usize,
    /// When this node found the content to be harmful.
    found_at: Moment,
}

impl HarmfulContent {
    /// Returns whether a request with the content `keys` is harmful.
    #[must_use]
    pub fn is_in(&self, keys: &[SuspectKey]) -> bool {
        self.keys.iter().all(|key| keys.contains(key))
    }
}

impl std::fmt::Display for HarmfulContent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let keys: Vec<String> = self.keys.iter().map(ToString::to_string).collect();
        f.write_str(&keys.join("+"))
    }
}

/// Changes of the harmful content after news about suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChange {
    /// Whether anything was new.
    pub is_new: bool,
    /// Content that became harmful, or was narrowed down to fewer keys.
    pub blamed: Vec<HarmfulContent>,
    /// Content that is no longer harmful, and no part of it is.
    pub cleared: Vec<HarmfulContent>,
}

/// Suspects and the harmful content among them.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    limits: SuspectLimits,
    records: BTreeMap<SuspectKey, SuspectRecord>,
    /// When a run last proved a shared part sound, by the identifier of the part.
    sound_parts: BTreeMap<u64, Moment>,
    /// Harmful content in the order in which it was found.
    harmful: Vec<HarmfulContent>,
    /// When this node last let harmful content run.
    trials: BTreeMap<Vec<SuspectKey>, Moment>,
}

impl SuspectTable {
    /// Maximum number of suspects. Exonerated and old ones are evicted first, harmful ones last.
    pub const MAX_SUSPECTS: usize = 1_000;
    /// Maximum number of crashes of one suspect.
    const MAX_CRASHES: usize = 16;
    /// Maximum number of suspects in one heartbeat.
    pub const MAX_REPORTS: usize = 100;
    /// Time for which a change is announced. Peers receive several heartbeats in this time.
    const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
    /// Factor by which each further incident increases the pause before a trial.
    const TRIAL_PAUSE_FACTOR: u32 = 3;

    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: SuspectLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns whether a run proves that its content crashes no target.
    #[must_use]
    pub fn is_proof(&self, run: RunStage) -> bool {
        match run {
            RunStage::Waiting => false,
            RunStage::Answering(time) => time >= self.limits.proof_time,
            RunStage::Complete => true,
        }
    }

    /// Records that a target crashed during a call with `keys` that had not proven them sound.
    pub fn record_crash(&mut self, keys: &[SuspectKey], crash: CrashId, now: Moment) -> SuspectChange {
        let report = CrashReport { crash, age: Duration::ZERO, is_exonerated: false, is_isolated: false };
        let mut is_new = false;
        for key in keys {
            is_new |= self.merge_crash(*key, report, now);
        }
        self.update_harmful(is_new, now)
    }

    /// Records that a run has proven `keys` sound, which exonerates them of all crashes known so far.
    pub fn record_proof(&mut self, keys: &[SuspectKey], now: Moment) -> SuspectChange {
        let mut is_new = false;
        for key in keys {
            self.record_sound_part(*key, now);
            let Some(record) = self.records.get_mut(key) else { continue };
            for crash in record.crashes.values_mut().filter(|crash| !crash.is_exonerated) {
                crash.is_exonerated = true;
                record.changed_at = now;
                is_new = true;
            }
        }
        self.update_harmful(is_new, now)
    }

    /// Merges what a peer knows.
    pub fn merge_reports(&mut self, reports: &[SuspectReport], now: Moment) -> SuspectChange {
        let mut is_new = false;
        for report in reports {
            for crash in &report.crashes {
                is_new |= self.merge_crash(report.key, *crash, now);
            }
        }
        self.update_harmful(is_new, now)
    }

    /// Returns whether the report was new. The time of a known crash is moved only to an earlier one.
    fn merge_crash(&mut self, key: SuspectKey, report: CrashReport, now: Moment) -> bool {
        if report.age >= self.limits.suspect_lifetime {
            return false;
        }
        let at = now - report.age;
        let record = self.records.entry(key).or_default();
        let known = record.crashes.get_mut(&report.crash);
        let tells_more = |known: &CrashRecord| {
            (report.is_exonerated && !known.is_exonerated) || (report.is_isolated && !known.is_isolated)
        };
        let is_new = known.as_deref().is_none_or(tells_more);
        if let Some(known) = known {
            known.at = known.at.min(at);
            known.is_exonerated |= report.is_exonerated;
            known.is_isolated |= report.is_isolated;
        } else {
            let CrashReport { crash, is_exonerated, is_isolated, .. } = report;
            record.crashes.insert(crash, CrashRecord { at, is_exonerated, is_isolated });
        }
        record.limit_crashes();
        let is_new = is_new && record.crashes.contains_key(&report.crash);
        if is_new {
            record.changed_at = now;
        }
        is_new
    }

    /// Returns whether any of `keys` is suspected of a crash.
    #[must_use]
    pub fn is_suspected(&self, keys: &[SuspectKey]) -> bool {
        let mut records = keys.iter().filter_map(|key| self.records.get(key));
        records.any(|record| record.crashes.values().any(|crash| !crash.is_exonerated))
    }

    /// Returns the reports for a heartbeat: all harmful content, so that a node that has just started learns it, and
    /// what changed recently.
    #[must_use]
    pub fn reports(&self, now: Moment) -> Vec<SuspectReport> {
        let is_recent = |record: &SuspectRecord| now.since(record.changed_at) <= Self::ANNOUNCE_TIMEOUT;
        let records = self.records.iter();
        let mut announced: Vec<_> =
            records.filter(|(key, record)| self.is_part_of_harmful(key) || is_recent(record)).collect();
        let none = BTreeSet::new();
        announced.sort_by_cached_key(|(key, record)| {
            let open_count = record.open_crashes(&none).len();
            std::cmp::Reverse((self.is_part_of_harmful(key), open_count, record.changed_at))
        });
        let reports = announced.into_iter().take(Self::MAX_REPORTS);
        reports.map(|(key, record)| record.report(*key, now)).collect()
    }

    /// Returns the reports from which a node that knows nothing finds the same content to be harmful.
    #[must_use]
    pub fn harmful_reports(&self, now: Moment) -> Vec<SuspectReport> {
        let keys = self.harmful.iter().flat_map(|content| &content.keys);
        let records = keys.filter_map(|key| Some((key, self.records.get(key)?)));
        records.map(|(key, record)| record.report(*key, now)).collect()
    }

    /// Forgets suspects whose last crash is long ago.
    pub fn remove_expired(&mut self, now: Moment) -> SuspectChange {
        let count = self.records.len();
        let lifetime = self.limits.suspect_lifetime;
        self.records.retain(|_, record| now.since(record.last_crash_at()) < lifetime);
        self.trials.retain(|keys, _| self.harmful.iter().any(|content| content.keys == *keys));
        if self.records.len() == count {
            return SuspectChange::default();
        }
        self.update_harmful(true, now)
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Evicts suspects beyond the maximum: harmful ones last, those with the fewest open crashes first, and the oldest
    /// among them first.
    fn evict_excess(&mut self) {
        let Some(excess) = self.records.len().checked_sub(Self::MAX_SUSPECTS).filter(|excess| *excess > 0) else {
            return;
        };
        let none = BTreeSet::new();
        let mut by_guilt: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| {
                let open_count = record.open_crashes(&none).len();
                (self.is_part_of_harmful(key), open_count, record.last_crash_at(), *key)
            })
            .collect();
        by_guilt.sort_unstable();
        for (_, _, _, key) in by_guilt.into_iter().take(excess) {
            self.records.remove(&key);
            self.harmful.retain(|content| !content.keys.contains(&key));
        }
    }
}
