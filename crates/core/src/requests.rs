//! Requests of this node. Each has one record with its attempts, callers and charges.

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
use crate::queue::QueuedRequest;
use crate::store::RowVersion;
use crate::warmth::ServedCall;

/// State of a request that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The row of the request's claim is being written.
    Claiming,
    /// The request waits for a target.
    Queued,
    /// At least one attempt is running.
    Running,
    /// The last attempt failed, and the retry backoff has not passed yet.
    Delayed,
    /// Another node runs the request, and this node waits for the outcome.
    Following,
}

/// Claim that this node holds, or tries to write, for a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Random value that identifies the claim.
    pub nonce: Nonce,
    /// Version of the claim's row, once it is known.
    pub version: Option<RowVersion>,
    /// Whether a write of the claim may have taken effect, or may still take effect.
    pub may_be_written: bool,
}

/// One request that has not ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Organisation and request id.
    pub key: RequestKey,
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// Name of the pipeline or service that the caller asked for.
    pub route: Arc<str>,
    /// Open calls that wait for the answer.
    pub callers: Vec<CallId>,
    /// JSON body from the caller.
    pub body: Arc<str>,
    /// Services of the request's stages, in order.
    pub stages: Vec<ServiceName>,
    /// Index of the current stage in `stages`.
    pub stage: u32,
    /// Answer of the previous stage, empty at the first stage.
    pub previous: Arc<str>,
    /// Tokens of the current stage, accepted in order.
    pub tokens: Vec<Arc<str>>,
    /// Prefix keys of the prompt of the current stage, once they are computed.
    pub prefixes: Option<Vec<PrefixKey>>,
    /// Time at which the request arrived.
    pub arrived: Moment,
    /// Time by which the request must be answered.
    pub deadline: Moment,
    /// Priority that the caller gave.
    pub priority: Priority,
    /// Current state.
    pub state: RequestState,
    /// Number of attempts so far, over all stages.
    pub attempts: u32,
    /// Number of attempts of the current stage so far.
    pub stage_attempts: u32,
    /// Targets at which attempts of the current stage failed.
    pub failed_targets: BTreeSet<TargetName>,
    /// Versions of the targets whose connections broke while they ran the current stage.
    pub crashed_versions: Vec<VersionName>,
    /// Attempts that are running.
    pub running: Vec<AttemptId>,
    /// Whether a byte of an attempt that must not be retried can have left this node.
    pub may_have_run: bool,
    /// Claim of the request, if it must not run twice.
    pub claim: Option<HeldClaim>,
    /// Charge lines so far.
    pub charges: Vec<ChargeLine>,
}

impl RequestRecord {
    /// Returns the service of the current stage.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.stages[self.stage as usize]
    }

    /// Returns whether the current stage is the last one.
    #[must_use]
    pub fn is_at_last_stage(&self) -> bool {
        self.stage as usize + 1 == self.stages.len()
    }

    /// Returns the entry under which the request stands in a queue.
    #[must_use]
    pub fn queue_entry(&self) -> QueuedRequest {
        QueuedRequest { deadline: self.deadline, key: self.key.clone() }
    }
}

/// Whether a target is in a cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetPhase {
    /// The target is in a cold start.
    Cold,
    /// The target is warm, or not known to be cold.
    #[default]
    Warm,
}

/// One running attempt.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Organisation and request id of the attempt's request.
    pub key: RequestKey,
    /// Index of the stage that the attempt runs.
    pub stage: u32,
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// Service that the attempt runs.
    pub service: ServiceName,
    /// Target that the attempt was sent to.
    pub target: TargetName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Phase that the target appeared to be in when the attempt was sent.
    pub phase: TargetPhase,
    /// Permit that the attempt uses.
    pub permit: Permit,
    /// Time at which the attempt was sent.
    pub started: Moment,
    /// Time by which the attempt must have ended.
    pub ends: Moment,
    /// Time at which the attempt has used up its stage's share of the request's deadline.
    pub share_deadline: Moment,
    /// Time from which a hedge is worth its cost; none if the attempt gets no hedge.
    pub hedge_at: Option<Moment>,
    /// Number of tokens that the stage had before this attempt.
    pub resume_from: u32,
    /// Whether the attempt answers with a stream of tokens.
    pub is_stream: bool,
    /// Whether the attempt's request has a claim and so must not be retried.
    pub has_claim: bool,
    /// Time at which the attempt was sent or last received a token.
    pub last_progress_at: Moment,
    /// Number of tokens received from the attempt.
    pub tokens: u32,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Whether the stream was already counted as sustained.
    pub is_sustained: bool,
}

impl AttemptRecord {
    /// Returns what the attempt's success says about its target: start and latency. The latency of a stream is the time
    /// to its first token.
    #[must_use]
    pub fn served(&self, now: Moment) -> ServedCall {
        let took = self.first_token.unwrap_or_else(|| now.since(self.started));
        ServedCall { started: self.started, took }
    }
}

/// Effect of a received token on its attempt and request.
#[derive(Debug)]
pub struct StreamProgress<'a> {
    /// Whether the token is the first of its attempt.
    pub is_first: bool,
    /// Target and start of the attempt, if its stream has now lasted long enough to count as a success of the target
    /// and was not counted before.
    pub sustained: Option<(TargetName, Moment)>,
    /// Request that the token belongs to.
    pub record: &'a mut RequestRecord,
}

/// Attempt that this node no longer waits for but that its target may still run. Its permit stays in use until it ends.
#[derive(Clone, Debug)]
pub struct DrainingAttempt {
    /// Target that may still run the attempt.
    pub target: TargetName,
    /// Permit that the attempt uses.
    pub permit: Permit,
    /// Time by which the attempt must have ended, including `DRAIN_MARGIN`.
    pub ends: Moment,
}

impl AttemptRecord {
    /// Returns whether the target appeared to be in a cold start when the attempt was sent.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.phase == TargetPhase::Cold
    }
}

/// Ended request, kept for callers that ask again under the same id.
#[derive(Clone, Debug)]
pub struct EndedRecord {
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// Answer with which the request ended.
    pub answer: FinalAnswer,
    /// Whether the claim of the request was written when the request ended, so that no other node can have run it.
    pub under_claim: bool,
    /// Time at which the request ended.
    pub ended: Moment,
}

/// Outcome of a claimed request that is not yet known to be recorded in the claim's row.
#[derive(Clone, Debug)]
pub struct Settlement {
    /// Claim to settle; if its version is unknown, the row is read first.
    pub claim: HeldClaim,
    /// Hash of goal and body.
    pub content: Fingerprint,
    /// Answer to record.
    pub answer: FinalAnswer,
    /// Time until which the write is retried.
    pub until: Moment,
}

/// Requests, attempts, ended requests and settlements, by their keys.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    records: BTreeMap<RequestKey, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    in_flight: BTreeMap<ServiceName, u32>,
    /// Numbers of requests, by priority, that run at a service, wait for it or have it as a later stage.
    pending: BTreeMap<ServiceName, [u32; 3]>,
    draining: BTreeMap<AttemptId, DrainingAttempt>,
    draining_order: BTreeSet<(Moment, AttemptId)>,
    calls: BTreeMap<CallId, RequestKey>,
    ended: BTreeMap<RequestKey, EndedRecord>,
    ended_order: BTreeSet<(Moment, RequestKey)>,
    deadlines: BTreeSet<(Moment, RequestKey)>,
    /// Requests that ended and whose settlements were not tried yet.
    pub untried_settlements: Vec<RequestKey>,
    /// Outcomes that still have to be recorded.
    pub settlements: BTreeMap<RequestKey, Settlement>,
}

impl RequestTable {
    /// Time after an attempt's end at which its target has surely dropped it. The margin covers the travel time of the
    /// attempt's request and clock differences.
    const DRAIN_MARGIN: Duration = Duration::from_millis(200);

    /// Adds a request.
    pub fn insert(&mut self, record: RequestRecord) {
        for call in &record.callers {
            self.calls.insert(*call, record.key.clone());
        }
        self.deadlines.insert((record.deadline, record.key.clone()));
        for stage in &record.stages {
            self.pending.entry(stage.clone()).or_default()[record.priority as usize] += 1;
        }
        self.records.insert(record.key.clone(), record);
    }

    /// Returns a request that has not ended.
    #[must_use]
    pub fn get(&self, key: &RequestKey) -> Option<&RequestRecord> {
        self.records.get(key)
    }

    /// Returns a request that has not ended, mutably. Its callers and its deadline are indexed, so they change only
    /// through methods of the table.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut RequestRecord> {
        self.records.get_mut(key)
    }

    /// Returns all requests that have not ended.
    pub fn iter(&self) -> impl Iterator<Item = &RequestRecord> {
        self.records.values()
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a caller to a request.
    pub fn add_caller(&mut self, key: &RequestKey, call: CallId) {
        if let Some(record) = self.records.get_mut(key) {
            record.callers.push(call);
            self.calls.insert(call, key.clone());
        }
    }

    /// Removes a caller. Returns the key of its request if no other caller waits for that request.
    pub fn remove_caller(&mut self, call: CallId) -> Option<RequestKey> {
        let key = self.calls.remove(&call)?;
        let record = self.records.get_mut(&key)?;
        record.callers.retain(|other| *other != call);
        record.callers.is_empty().then_some(key)
    }

    /// Removes a request, remembers its answer and returns its record.
    pub fn end(&mut self, key: &RequestKey, answer: &FinalAnswer, now: Moment) -> Option<RequestRecord> {
        let record = self.records.remove(key)?;
        self.deadlines.remove(&(record.deadline, key.clone()));
        for stage in &record.stages[record.stage as usize..] {
            self.remove_pending(stage, record.priority);
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

    /// Returns how a request ended, if it is still remembered.
    #[must_use]
    pub fn ended(&self, key: &RequestKey) -> Option<&EndedRecord> {
        self.ended.get(key)
    }

    /// Removes ended requests that are older than `retention`.
    pub fn expire_ended(&mut self, retention: Duration, now: Moment) {
        while let Some((ended, key)) = self.ended_order.first().cloned() {
            if now.since(ended) < retention {
                break;
            }
            self.ended_order.pop_first();
            self.ended.remove(&key);
        }
    }

    /// Returns the requests whose deadline has passed.
    #[must_use]
    pub fn expired(&self, now: Moment) -> Vec<RequestKey> {
        self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now).map(|(_, key)| key.clone()).collect()
    }

    /// Adds a running attempt.
    pub fn start_attempt(&mut self, id: AttemptId, attempt: AttemptRecord) {
        if let Some(record) = self.records.get_mut(&attempt.key) {
            record.running.push(id);
        }
        *self.in_flight.entry(attempt.service.clone()).or_default() += 1;
        self.attempts.insert(id, attempt);
    }

    /// Returns a running attempt.
    #[must_use]
    pub fn attempt(&self, id: AttemptId) -> Option<&AttemptRecord> {
        self.attempts.get(&id)
    }

    /// Moves a request to its next stage; `previous` is the answer of the stage that ended.
    pub fn advance_stage(&mut self, key: &RequestKey, previous: Arc<str>) {
        let Some(record) = self.records.get_mut(key) else { return };
        let (service, priority) = (record.service().clone(), record.priority);
        record.previous = previous;
        record.stage += 1;
        record.stage_attempts = 0;
        record.tokens.clear();
        record.prefixes = None;
        record.failed_targets.clear();
        record.may_have_run = true;
        self.remove_pending(&service, priority);
    }

    fn remove_pending(&mut self, service: &ServiceName, priority: Priority) {
        if let Some(counts) = self.pending.get_mut(service) {
            counts[priority as usize] -= 1;
        }
    }

    /// Returns the number of requests of at least this priority that run at `service`, wait for it or have it as a
    /// later stage.
    #[must_use]
    pub fn count_pending(&self, service: &ServiceName, priority: Priority) -> u32 {
        self.pending.get(service).map_or(0, |counts| counts[..=priority as usize].iter().sum())
    }

    /// Returns the number of attempts that run at targets of `service`.
    #[must_use]
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.in_flight.get(service).copied().unwrap_or_default()
    }

    /// Returns a running attempt, mutably, to change the times at which it is checked.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(&id)
    }

    /// Records a token of an attempt and returns its effect. A stream counts as sustained once it has lasted for
    /// `sustained_after`.
    pub fn record_token(
        &mut self,
        id: AttemptId,
        sustained_after: Duration,
        now: Moment,
    ) -> Option<StreamProgress<'_>> {
        let attempt = self.attempts.get_mut(&id)?;
        attempt.last_progress_at = now;
        attempt.tokens += 1;
        attempt.first_token.get_or_insert(now.since(attempt.started));
        let is_sustained = !attempt.is_sustained && now.since(attempt.started) >= sustained_after;
        attempt.is_sustained |= is_sustained;
        let sustained = is_sustained.then(|| (attempt.target.clone(), attempt.started));
        let record = self.records.get_mut(&attempt.key)?;
        Some(StreamProgress { is_first: attempt.tokens == 1, sustained, record })
    }

    /// Keeps the permit of an attempt that this node no longer waits for in use until the attempt has surely ended.
    pub fn start_draining(&mut self, id: AttemptId, attempt: &AttemptRecord) {
        let (target, permit) = (attempt.target.clone(), attempt.permit.clone());
        let ends = attempt.ends + Self::DRAIN_MARGIN;
        self.draining_order.insert((ends, id));
        self.draining.insert(id, DrainingAttempt { target, permit, ends });
    }

    /// Removes a draining attempt that has ended.
    pub fn end_draining(&mut self, id: AttemptId) -> Option<DrainingAttempt> {
        let draining = self.draining.remove(&id)?;
        self.draining_order.remove(&(draining.ends, id));
        Some(draining)
    }

    /// Returns a draining attempt that must have ended by `now`.
    #[must_use]
    pub fn next_drained(&self, now: Moment) -> Option<AttemptId> {
        self.draining_order.first().filter(|(ends, _)| *ends <= now).map(|(_, id)| *id)
    }

    /// Removes a running attempt that ended.
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

    /// Returns all running attempts, by id.
    pub fn attempts(&self) -> impl Iterator<Item = (AttemptId, &AttemptRecord)> {
        self.attempts.iter().map(|(id, attempt)| (*id, attempt))
    }
}
