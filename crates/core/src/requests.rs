//! Requests of this node: one record for each open request, its running attempts, and the answers of ended requests.

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
    /// The row of the request's claim is being written or read.
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

/// Claim that this node holds or tries to write. A claim is a row of the table service that gives one node the right to
/// run a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Random number that identifies the claim.
    pub nonce: Nonce,
    /// Version of the claim's row; `None` until the row is known to be written.
    pub version: Option<RowVersion>,
    /// Whether a write of the claim may have taken effect, or may still take effect.
    pub may_be_written: bool,
}

/// One request that has not ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Organisation and request id.
    pub key: RequestKey,
    /// Hash of the request's goal and body.
    pub content: Fingerprint,
    /// Name of the pipeline or service that the caller asked for.
    pub route: Arc<str>,
    /// Open calls that wait for the answer.
    pub callers: Vec<CallId>,
    /// JSON body from the caller.
    pub body: Arc<str>,
    /// Service of each stage of the request, in order.
    pub stages: Vec<ServiceName>,
    /// Index of the current stage in `stages`.
    pub stage: u32,
    /// JSON answer of the previous stage, empty at the first stage.
    pub previous: Arc<str>,
    /// Tokens of the current stage received so far, without gap or repeat; empty if the stage is not a stream.
    pub tokens: Vec<Arc<str>>,
    /// Prefix keys of the prompt of the current stage; `None` until they are computed, and if the stage is not a
    /// stream.
    pub prefixes: Option<Vec<PrefixKey>>,
    /// Time at which the request arrived.
    pub arrived: Moment,
    /// Time by which the request must be answered.
    pub deadline: Moment,
    /// Priority that the caller gave.
    pub priority: Priority,
    /// Current state.
    pub state: RequestState,
    /// Number of attempts so far over all stages, hedges included.
    pub attempts: u32,
    /// Number of attempts of the current stage so far, hedges included.
    pub stage_attempts: u32,
    /// Targets at which attempts of the current stage failed.
    pub failed_targets: BTreeSet<TargetName>,
    /// Versions of the targets whose connections broke while they ran the request, once for each break. Kept only for
    /// services with a candidate version, and emptied by the next success.
    pub crashed_versions: Vec<VersionName>,
    /// Attempts that are running: more than one only with a hedge.
    pub running: Vec<AttemptId>,
    /// Whether a target may have run any part of the request: a byte of an attempt may have left this node, and the
    /// target did not answer that it ran nothing.
    pub may_have_run: bool,
    /// Claim of the request; `None` if the request may run twice, its claim was never sent, or another claim holds.
    pub claim: Option<HeldClaim>,
    /// Charge lines of the attempts that finished so far.
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
    /// Time at which the attempt's time runs out: the request's deadline or the maximum duration of a call.
    pub ends: Moment,
    /// Time at which the attempt has used up its stage's share of the request's deadline; equal to `ends` if there is
    /// no share, or once the share was checked.
    pub share_deadline: Moment,
    /// Time at which the attempt should get a hedge; `None` if it gets none or that time was checked.
    pub hedge_at: Option<Moment>,
    /// Number of tokens that the stage had before this attempt: index of the first token that the attempt sends.
    pub resume_from: u32,
    /// Whether the attempt answers with a stream of tokens.
    pub is_stream: bool,
    /// Whether the attempt's request has a claim, so that it must not be sent again once a target may have run it.
    pub has_claim: bool,
    /// Time at which the attempt was sent or last received a token.
    pub last_progress_at: Moment,
    /// Number of tokens received from the attempt.
    pub tokens: u32,
    /// Time from sending to the first token; `None` until it arrives.
    pub first_token: Option<Duration>,
    /// Whether the stream has lasted long enough to count as a success of the target, and was counted so.
    pub is_sustained: bool,
}

impl AttemptRecord {
    /// Returns start and latency of the attempt, which succeeded at `now`, for the target's warmth estimate. The
    /// latency of a stream is the time to its first token.
    #[must_use]
    pub fn served_call(&self, now: Moment) -> ServedCall {
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
    pub newly_sustained: Option<(TargetName, Moment)>,
    /// Request that the token belongs to.
    pub record: &'a mut RequestRecord,
}

/// Attempt that this node no longer waits for but that its target may still run. The permit of the attempt stays in use
/// until the attempt ends.
#[derive(Clone, Debug)]
pub struct DrainingAttempt {
    /// Target that may still run the attempt.
    pub target: TargetName,
    /// Permit that the attempt uses.
    pub permit: Permit,
    /// Time by which the attempt has certainly ended: its `ends` plus `DRAIN_MARGIN`.
    pub drained_at: Moment,
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
    /// Hash of the request's goal and body.
    pub content: Fingerprint,
    /// Answer with which the request ended.
    pub answer: FinalAnswer,
    /// Whether the claim of the request was known to be written when the request ended, so that no other node can have
    /// run it.
    pub is_claim_written: bool,
    /// Time at which the request ended.
    pub ended_at: Moment,
}

/// Pending record of an outcome: the request has ended, but its outcome is not known to stand in the claim's row.
#[derive(Clone, Debug)]
pub struct Settlement {
    /// Claim whose row gets the outcome. If its version is unknown, the row is read first.
    pub claim: HeldClaim,
    /// Hash of the request's goal and body.
    pub content: Fingerprint,
    /// Answer to record.
    pub answer: FinalAnswer,
    /// Time until which the write is retried.
    pub retry_until: Moment,
}

/// Open requests, running and draining attempts, ended requests and settlements, with indexes by time.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    records: BTreeMap<RequestKey, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// Number of running attempts at each service.
    in_flight: BTreeMap<ServiceName, u32>,
    /// Number of requests of each priority that run at a service, wait for it or have it as a later stage.
    pending: BTreeMap<ServiceName, [u32; 3]>,
    draining: BTreeMap<AttemptId, DrainingAttempt>,
    draining_order: BTreeSet<(Moment, AttemptId)>,
    calls: BTreeMap<CallId, RequestKey>,
    ended: BTreeMap<RequestKey, EndedRecord>,
    ended_order: BTreeSet<(Moment, RequestKey)>,
    deadlines: BTreeSet<(Moment, RequestKey)>,
    /// Keys of settlements that were added and not tried yet.
    pub untried_settlements: Vec<RequestKey>,
    /// Settlements by the key of their requests.
    pub settlements: BTreeMap<RequestKey, Settlement>,
}

impl RequestTable {
    /// Time after an attempt's end at which its target has surely dropped it. The margin covers the travel time of the
    /// attempt's request and clock differences.
    const DRAIN_MARGIN: Duration = Duration::from_millis(200);

    /// Adds a request and counts it as pending at the services of all its stages.
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

    /// Returns all requests that have not ended, by key.
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

    /// Adds a caller to a request that has not ended; does nothing if there is no such request.
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

    /// Removes a request, keeps its answer as an ended record and returns the removed record. Returns `None` if the
    /// request has already ended.
    pub fn end(&mut self, key: &RequestKey, answer: &FinalAnswer, now: Moment) -> Option<RequestRecord> {
        let record = self.records.remove(key)?;
        self.deadlines.remove(&(record.deadline, key.clone()));
        for stage in &record.stages[record.stage as usize..] {
            self.remove_pending(stage, record.priority);
        }
        for call in &record.callers {
            self.calls.remove(call);
        }
        let is_claim_written = record.claim.is_some_and(|claim| claim.version.is_some());
        let ended = EndedRecord { content: record.content, answer: answer.clone(), is_claim_written, ended_at: now };
        if let Some(old) = self.ended.insert(key.clone(), ended) {
            self.ended_order.remove(&(old.ended_at, key.clone()));
        }
        self.ended_order.insert((now, key.clone()));
        Some(record)
    }

    /// Returns the record of an ended request, or `None` if there is none or it has been removed by age.
    #[must_use]
    pub fn ended_record(&self, key: &RequestKey) -> Option<&EndedRecord> {
        self.ended.get(key)
    }

    /// Removes the records of requests that ended at least `retention` ago.
    pub fn expire_ended(&mut self, retention: Duration, now: Moment) {
        while let Some((ended_at, key)) = self.ended_order.first().cloned() {
            if now.since(ended_at) < retention {
                break;
            }
            self.ended_order.pop_first();
            self.ended.remove(&key);
        }
    }

    /// Returns the keys of the open requests whose deadline has passed, earliest first.
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

    /// Moves a request to its next stage and resets the fields of the current stage. `previous` is the answer of the
    /// stage that ended.
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

    /// Records the arrival of a token of a running attempt and returns its effect, or `None` if the attempt is not
    /// running. The text is not stored. A stream counts as sustained once it has lasted for `min_stream_duration`.
    pub fn record_token(
        &mut self,
        id: AttemptId,
        min_stream_duration: Duration,
        now: Moment,
    ) -> Option<StreamProgress<'_>> {
        let attempt = self.attempts.get_mut(&id)?;
        attempt.last_progress_at = now;
        attempt.tokens += 1;
        attempt.first_token.get_or_insert(now.since(attempt.started));
        let has_become_sustained = !attempt.is_sustained && now.since(attempt.started) >= min_stream_duration;
        attempt.is_sustained |= has_become_sustained;
        let newly_sustained = has_become_sustained.then(|| (attempt.target.clone(), attempt.started));
        let record = self.records.get_mut(&attempt.key)?;
        Some(StreamProgress { is_first: attempt.tokens == 1, newly_sustained, record })
    }

    /// Keeps the permit of an attempt that this node no longer waits for in use until the attempt has surely ended.
    pub fn start_draining(&mut self, id: AttemptId, attempt: &AttemptRecord) {
        let (target, permit) = (attempt.target.clone(), attempt.permit.clone());
        let drained_at = attempt.ends + Self::DRAIN_MARGIN;
        self.draining_order.insert((drained_at, id));
        self.draining.insert(id, DrainingAttempt { target, permit, drained_at });
    }

    /// Removes a draining attempt that has ended, and returns it if there was one.
    pub fn end_draining(&mut self, id: AttemptId) -> Option<DrainingAttempt> {
        let draining = self.draining.remove(&id)?;
        self.draining_order.remove(&(draining.drained_at, id));
        Some(draining)
    }

    /// Returns the id of a draining attempt that has certainly ended by `now`, if there is one. Does not remove the
    /// attempt.
    #[must_use]
    pub fn next_drained(&self, now: Moment) -> Option<AttemptId> {
        self.draining_order.first().filter(|(drained_at, _)| *drained_at <= now).map(|(_, id)| *id)
    }

    /// Removes a running attempt that ended, and returns it if there was one.
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
