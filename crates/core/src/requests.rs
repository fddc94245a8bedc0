//! Requests at this node: one record each, with its attempts, callers and charges.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::event::Priority;
use crate::names::{
    AttemptId, CallId, Fingerprint, Nonce, PrefixKey, RequestKey, ServiceName, TargetName, VersionName,
};
use crate::outcome::{ChargeLine, FinalAnswer};
use crate::permits::Permit;
use crate::queue::Waiting;
use crate::store::RowVersion;
use crate::warmth::ServedCall;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its claim is being written.
    Claiming,
    /// It waits for a target.
    Queued,
    /// An attempt runs.
    Running,
    /// Its attempt failed, and it waits before it is queued again.
    Delayed,
    /// Another node runs it; this one waits for the outcome.
    Following,
}

/// A claim that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimHold {
    /// Marks the claim.
    pub nonce: Nonce,
    /// Version of its row, once known.
    pub version: Option<RowVersion>,
    /// Whether a write of it may have taken effect, or may still do so.
    pub doubtful: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Organisation and id.
    pub key: RequestKey,
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// Pipeline or service that it was asked for.
    pub route: Arc<str>,
    /// Callers that wait for it.
    pub callers: Vec<CallId>,
    /// The caller's body.
    pub body: Arc<str>,
    /// Stages in order.
    pub stages: Vec<ServiceName>,
    /// Position of the stage that it is at.
    pub stage: u32,
    /// Answer of the stage before.
    pub previous: Arc<str>,
    /// Tokens of the running stage, accepted in order.
    pub tokens: Vec<Arc<str>>,
    /// Prefixes of the prompt of its current stage, once worked out.
    pub prefixes: Option<Vec<PrefixKey>>,
    /// When it arrived.
    pub arrived: Moment,
    /// When it must be answered.
    pub deadline: Moment,
    /// Urgency.
    pub priority: Priority,
    /// Where it stands.
    pub state: RequestState,
    /// Attempts so far, over all stages.
    pub attempts: u32,
    /// Attempts of this stage so far.
    pub stage_attempts: u32,
    /// Targets whose attempts of this stage failed.
    pub failed_at: BTreeSet<TargetName>,
    /// Versions whose targets broke off while they ran this stage.
    pub broke: Vec<VersionName>,
    /// Attempts that run.
    pub running: Vec<AttemptId>,
    /// Whether a byte of a non-repeatable order can have left.
    pub sent: bool,
    /// Its claim, if it needs one.
    pub claim: Option<ClaimHold>,
    /// Charges so far.
    pub charges: Vec<ChargeLine>,
}

impl RequestRecord {
    /// Service of the stage that it is at.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.stages[self.stage as usize]
    }

    /// Whether it is at its last stage.
    #[must_use]
    pub fn at_last_stage(&self) -> bool {
        self.stage as usize + 1 == self.stages.len()
    }

    /// Its entry in a queue.
    #[must_use]
    pub fn waiting(&self) -> Waiting {
        Waiting { deadline: self.deadline, key: self.key.clone() }
    }
}

/// Whether a target is in a cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetPhase {
    /// In a cold start.
    Cold,
    /// Warm, or not known to be cold.
    #[default]
    Warm,
}

/// One attempt that runs.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request.
    pub key: RequestKey,
    /// The stage that waits for it.
    pub stage: u32,
    /// Number within the request, from 1.
    pub number: u32,
    /// Service.
    pub service: ServiceName,
    /// Target.
    pub target: TargetName,
    /// Version.
    pub version: VersionName,
    /// Phase that the target seemed to be in when it was sent.
    pub phase: TargetPhase,
    /// The right that it runs under.
    pub permit: Permit,
    /// When it was sent.
    pub started: Moment,
    /// When it must have ended.
    pub ends: Moment,
    /// When its share of the deadline is used up.
    pub share_ends: Moment,
    /// When a second attempt beside it is worth its cost.
    pub hedge_at: Option<Moment>,
    /// Tokens that the stage had before it.
    pub resume_from: u32,
    /// Whether it brings a stream of tokens.
    pub streams: bool,
    /// Whether its request must not be repeated.
    pub claimed: bool,
    /// When it was sent or last brought something.
    pub progress: Moment,
    /// Tokens that it brought.
    pub tokens: u32,
    /// Time to its first token.
    pub first_token: Option<Duration>,
    /// Whether it was counted as a stream that flows.
    pub flowing: bool,
}

impl AttemptRecord {
    /// What it tells of its target, now that it went well.
    #[must_use]
    pub fn served(&self, now: Moment) -> ServedCall {
        let took = self.first_token.unwrap_or_else(|| now.since(self.started));
        ServedCall { started: self.started, took }
    }
}

/// A token that came, as its request sees it.
#[derive(Debug)]
pub struct StreamProgress<'a> {
    /// Whether it is the attempt's first.
    pub is_first: bool,
    /// The target, if the stream has flowed for long enough to speak for it and was not counted yet.
    pub flowing: Option<(TargetName, Moment)>,
    /// The request.
    pub record: &'a mut RequestRecord,
}

/// An attempt that was given up, whose target may still run it: its permit stays in use until then.
#[derive(Clone, Debug)]
pub struct DrainingAttempt {
    /// Target.
    pub target: TargetName,
    /// The right that it runs under.
    pub permit: Permit,
    /// When it must have ended.
    pub ends: Moment,
}

impl AttemptRecord {
    /// Whether its target seemed to be in a cold start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.phase == TargetPhase::Cold
    }
}

/// A request that ended, kept for callers that ask again.
#[derive(Clone, Debug)]
pub struct EndedRecord {
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// How it ended.
    pub answer: FinalAnswer,
    /// Whether it ended under a claim that stands, so that no other node can have run it.
    pub under_claim: bool,
    /// When.
    pub ended: Moment,
}

/// The end of a claimed request that is not yet known to be recorded.
#[derive(Clone, Debug)]
pub struct Settlement {
    /// The claim; without a version the row is read first.
    pub claim: ClaimHold,
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// How it ended.
    pub answer: FinalAnswer,
    /// Until when it is worth trying.
    pub until: Moment,
}

/// Requests, attempts and ends, by their keys.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    records: BTreeMap<RequestKey, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    in_flight: BTreeMap<ServiceName, u32>,
    /// Requests by urgency that run at a service, wait for it or will come to it.
    bound: BTreeMap<ServiceName, [u32; 3]>,
    draining: BTreeMap<AttemptId, DrainingAttempt>,
    draining_order: BTreeSet<(Moment, AttemptId)>,
    calls: BTreeMap<CallId, RequestKey>,
    ended: BTreeMap<RequestKey, EndedRecord>,
    ended_order: BTreeSet<(Moment, RequestKey)>,
    deadlines: BTreeSet<(Moment, RequestKey)>,
    /// Claimed requests that ended just now, whose settlements were not tried yet.
    pub fresh_settlements: Vec<RequestKey>,
    /// Ends that are still to be recorded.
    pub settlements: BTreeMap<RequestKey, Settlement>,
}

impl RequestTable {
    /// Time beyond an attempt's end until its target has surely dropped it: the order travels, and clocks differ.
    const DRAIN_MARGIN: Duration = Duration::from_millis(200);

    /// Adds a request.
    pub fn insert(&mut self, record: RequestRecord) {
        for call in &record.callers {
            self.calls.insert(*call, record.key.clone());
        }
        self.deadlines.insert((record.deadline, record.key.clone()));
        for stage in &record.stages {
            self.bound.entry(stage.clone()).or_default()[record.priority as usize] += 1;
        }
        self.records.insert(record.key.clone(), record);
    }

    /// One request.
    #[must_use]
    pub fn get(&self, key: &RequestKey) -> Option<&RequestRecord> {
        self.records.get(key)
    }

    /// One request, to change; its callers and deadline are changed by methods of the table.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut RequestRecord> {
        self.records.get_mut(key)
    }

    /// Requests that have not ended.
    pub fn iter(&self) -> impl Iterator<Item = &RequestRecord> {
        self.records.values()
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether all have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a caller to a request.
    pub fn join(&mut self, key: &RequestKey, call: CallId) {
        if let Some(record) = self.records.get_mut(key) {
            record.callers.push(call);
            self.calls.insert(call, key.clone());
        }
    }

    /// Removes a caller; tells which request it waited for, if no caller waits for that any more.
    pub fn leave(&mut self, call: CallId) -> Option<RequestKey> {
        let key = self.calls.remove(&call)?;
        let record = self.records.get_mut(&key)?;
        record.callers.retain(|other| *other != call);
        record.callers.is_empty().then_some(key)
    }

    /// Removes a request that ends and remembers how; gives back its record.
    pub fn end(&mut self, key: &RequestKey, answer: &FinalAnswer, now: Moment) -> Option<RequestRecord> {
        let record = self.records.remove(key)?;
        self.deadlines.remove(&(record.deadline, key.clone()));
        for stage in &record.stages[record.stage as usize..] {
            self.unbind(stage, record.priority);
        }
        for call in &record.callers {
            self.calls.remove(call);
        }
        let under_claim = record.claim.is_some_and(|claim| claim.version.is_some());
        let ended = EndedRecord { content: record.content, answer: answer.clone(), under_claim, ended: now };
        if let Some(old) = self.ended.insert(key.clone(), ended) {
            self.ended_order.remove(&(old.ended, key.clone()));
        }
        self.ended_order.insert((now, key.clone()));
        Some(record)
    }

    /// How a request ended, if it is still remembered.
    #[must_use]
    pub fn ended(&self, key: &RequestKey) -> Option<&EndedRecord> {
        self.ended.get(key)
    }

    /// Forgets ends older than `keep`.
    pub fn forget_ended(&mut self, keep: Duration, now: Moment) {
        while let Some((ended, key)) = self.ended_order.first().cloned() {
            if now.since(ended) < keep {
                break;
            }
            self.ended_order.pop_first();
            self.ended.remove(&key);
        }
    }

    /// Requests whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Moment) -> Vec<RequestKey> {
        self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now).map(|(_, key)| key.clone()).collect()
    }

    /// Adds an attempt.
    pub fn start_attempt(&mut self, id: AttemptId, attempt: AttemptRecord) {
        if let Some(record) = self.records.get_mut(&attempt.key) {
            record.running.push(id);
        }
        *self.in_flight.entry(attempt.service.clone()).or_default() += 1;
        self.attempts.insert(id, attempt);
    }

    /// One attempt.
    #[must_use]
    pub fn attempt(&self, id: AttemptId) -> Option<&AttemptRecord> {
        self.attempts.get(&id)
    }

    /// Moves a request on to its next stage.
    pub fn next_stage(&mut self, key: &RequestKey, previous: Arc<str>) {
        let Some(record) = self.records.get_mut(key) else { return };
        let (service, priority) = (record.service().clone(), record.priority);
        record.previous = previous;
        record.stage += 1;
        record.stage_attempts = 0;
        record.tokens.clear();
        record.prefixes = None;
        record.failed_at.clear();
        record.sent = true;
        self.unbind(&service, priority);
    }

    fn unbind(&mut self, service: &ServiceName, priority: Priority) {
        if let Some(counts) = self.bound.get_mut(service) {
            counts[priority as usize] -= 1;
        }
    }

    /// Requests as urgent or more so that run at a service, wait for it or will come to it.
    #[must_use]
    pub fn bound_for(&self, service: &ServiceName, priority: Priority) -> u32 {
        self.bound.get(service).map_or(0, |counts| counts[..=priority as usize].iter().sum())
    }

    /// Attempts that run at targets of a service.
    #[must_use]
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.in_flight.get(service).copied().unwrap_or_default()
    }

    /// One attempt, to change what is still to be looked at.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(&id)
    }

    /// Notes a token of an attempt; gives its request.
    pub fn progress(&mut self, id: AttemptId, flows_after: Duration, now: Moment) -> Option<StreamProgress<'_>> {
        let attempt = self.attempts.get_mut(&id)?;
        attempt.progress = now;
        attempt.tokens += 1;
        attempt.first_token.get_or_insert(now.since(attempt.started));
        let flows = !attempt.flowing && now.since(attempt.started) >= flows_after;
        attempt.flowing |= flows;
        let flowing = flows.then(|| (attempt.target.clone(), attempt.started));
        let record = self.records.get_mut(&attempt.key)?;
        Some(StreamProgress { is_first: attempt.tokens == 1, flowing, record })
    }

    /// Keeps the permit of an attempt that was given up in use, until its end is sure.
    pub fn drain(&mut self, id: AttemptId, attempt: &AttemptRecord) {
        let (target, permit) = (attempt.target.clone(), attempt.permit.clone());
        let ends = attempt.ends + Self::DRAIN_MARGIN;
        self.draining_order.insert((ends, id));
        self.draining.insert(id, DrainingAttempt { target, permit, ends });
    }

    /// Removes a draining attempt whose end is sure.
    pub fn end_draining(&mut self, id: AttemptId) -> Option<DrainingAttempt> {
        let draining = self.draining.remove(&id)?;
        self.draining_order.remove(&(draining.ends, id));
        Some(draining)
    }

    /// A draining attempt that must have ended.
    #[must_use]
    pub fn drained(&self, now: Moment) -> Option<AttemptId> {
        self.draining_order.first().filter(|(ends, _)| *ends <= now).map(|(_, id)| *id)
    }

    /// Removes an attempt that ended.
    pub fn end_attempt(&mut self, id: AttemptId) -> Option<AttemptRecord> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(count) = self.in_flight.get_mut(&attempt.service) {
            *count -= 1;
        }
        if let Some(record) = self.records.get_mut(&attempt.key) {
            record.running.retain(|other| *other != id);
        }
        Some(attempt)
    }

    /// Attempts that run, by id.
    pub fn attempts(&self) -> impl Iterator<Item = (AttemptId, &AttemptRecord)> {
        self.attempts.iter().map(|(id, attempt)| (*id, attempt))
    }
}
