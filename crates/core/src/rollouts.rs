//! Moves services to candidate versions: every node judges the candidates, and the lease holder records their progress.
//!
//! A node that finds a version bad stops sending calls to it and tells its peers at once, without the table service.
//! The lasting state is one row per service, written conditionally. A row only moves forward: from a trial through
//! the steps of growing traffic share to `Finished`, and from any state to `RolledBack`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::document::{CandidateSpec, ServiceSpec};
use crate::event::Event;
use crate::judge::{PassScope, VersionJudge};
use crate::message::{PeerMessage, VersionCounts};
use crate::names::{NodeName, ServiceName};
use crate::store::{LeaseKind, RolloutRow, RolloutState, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;
use crate::versions::{self, CandidateKey, CountKey, InstanceCounts, step_count, step_share};

/// Interval of evaluating the candidates, and shortest interval of sending changed counts to peers.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of sending the whole known state to one peer.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);
/// Limit of counts in one message.
const MAX_COUNTS_PER_MESSAGE: usize = 512;
/// Number of peers per `EVALUATION_INTERVAL` in the interval of sending counts; the quotient is rounded up.
const PEERS_PER_INTERVAL: u32 = 16;
/// Limit of other instances whose counts are resent at once.
const MAX_RESENT_INSTANCES: usize = 32;
/// Divisor of `finish_within` that gives the minimum duration of a step while enough time is left.
const MIN_STEP_DIVISOR: u32 = 10;

/// State that this node keeps for one candidate.
#[derive(Debug)]
struct CandidateWatch {
    candidate: CandidateKey,
    judge: VersionJudge,
    /// Furthest row that this node knows; `None` until one is read or received.
    known_row: Option<RolloutRow>,
    /// Time at which `known_row` became known, or at which the watch began while there is none.
    row_known_since: Moment,
    /// Version of the row in the table service, if it is known from a read since this node's last write.
    row_version: Option<RowVersion>,
    /// Whether the last read found no row in the table service.
    is_row_absent: bool,
    /// Whether the row in the table service belongs to a later document than the one in force on this node.
    is_superseded: bool,
}

impl CandidateWatch {
    fn new(candidate: CandidateKey, now: Moment) -> Self {
        Self {
            candidate,
            judge: VersionJudge::default(),
            known_row: None,
            row_known_since: now,
            row_version: None,
            is_row_absent: false,
            is_superseded: false,
        }
    }

    /// Returns for how long the candidate has been compared, including the time that the known row records.
    fn elapsed(&self, now: Moment) -> Duration {
        let elapsed_before_ms = self.known_row.as_ref().map_or(0, |row| row.elapsed_ms);
        Duration::from_millis(elapsed_before_ms) + now.since(self.row_known_since)
    }
}

/// Controller that judges the candidates and advances their rollouts.
#[derive(Debug, Default)]
pub struct RolloutController {
    /// Watches of the candidates in the document in force, by service.
    candidate_watches: BTreeMap<ServiceName, CandidateWatch>,
    /// This instance's counts as last sent to peers.
    sent_counts: InstanceCounts,
    next_evaluation_at: Moment,
    next_send_at: Moment,
    next_resend_at: Moment,
}

impl Controller for RolloutController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if board.now >= self.next_evaluation_at => self.evaluate_candidates(board, out),
            Event::Peer(_, message) => self.handle_peer_message(board, message, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::ReadRollout(service) => self.handle_read_reply(board, service, reply, out),
            StorePurpose::WriteRollout(service) => self.handle_write_reply(board, service, reply, out),
            _ => {}
        }
    }
}

impl RolloutController {
    fn evaluate_candidates(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.next_evaluation_at = board.now + EVALUATION_INTERVAL;
        let document = board.document.clone();
        let services = &document.content.services;
        self.candidate_watches.retain(|service, _| services.get(service).is_some_and(|spec| spec.candidate.is_some()));
        for (service, spec) in services {
            let Some(candidate) = &spec.candidate else { continue };
            self.ensure_watch(board, service, spec, candidate);
            self.judge_candidate(board, service, spec, out);
            if holds_rollout_lease(board) {
                self.record_progress(board, service, candidate, out);
            }
        }
        self.send_changed_counts(board, out);
        if board.now >= self.next_resend_at && !self.candidate_watches.is_empty() {
            self.next_resend_at = board.now + RESEND_INTERVAL;
            self.resend_state(board, out);
        }
    }

    /// Starts to watch the candidate of a service unless this attempt is watched already.
    fn ensure_watch(
        &mut self,
        board: &Blackboard,
        service: &ServiceName,
        spec: &ServiceSpec,
        candidate: &CandidateSpec,
    ) {
        let key = versions::candidate_key(service, spec, &candidate.version);
        if self.candidate_watches.get(service).is_none_or(|watch| watch.candidate != key) {
            self.candidate_watches.insert(service.clone(), CandidateWatch::new(key, board.now));
        }
    }

    /// Compares the candidate with the stable version; if it is bad, stops its traffic and tells all peers.
    ///
    /// The comparison ends once the candidate was found bad, and `finish_within` after the rollout has finished.
    fn judge_candidate(
        &mut self,
        board: &mut Blackboard,
        service: &ServiceName,
        spec: &ServiceSpec,
        out: &mut Vec<Action>,
    ) {
        let Some(watch) = self.candidate_watches.get_mut(service) else { return };
        let is_over =
            watch.known_row.as_ref().is_some_and(|row| is_observation_over(row, watch.elapsed(board.now), spec));
        if is_over || board.versions.bad_candidates.contains_key(&watch.candidate) {
            return;
        }
        let stable = board.versions.totals(&versions::candidate_key(service, spec, &spec.stable));
        let totals = board.versions.totals(&watch.candidate);
        let Some(finding) = watch.judge.evaluate(&totals, &stable) else { return };
        let reason: Arc<str> = Arc::from(finding.to_string());
        board.versions.bad_candidates.insert(watch.candidate.clone(), reason.clone());
        let message = PeerMessage::VersionBad { candidate: watch.candidate.clone(), reason };
        send_to_all(board, &message, out);
    }

    /// Writes the next row of a service if the known row, the verdict and the elapsed time call for one.
    fn record_progress(
        &mut self,
        board: &mut Blackboard,
        service: &ServiceName,
        spec: &CandidateSpec,
        out: &mut Vec<Action>,
    ) {
        let (read_purpose, write_purpose) =
            (StorePurpose::ReadRollout(service.clone()), StorePurpose::WriteRollout(service.clone()));
        if !board.store.is_backoff_over(board.now)
            || board.store.is_open(&read_purpose)
            || board.store.is_open(&write_purpose)
        {
            return;
        }
        let Some(watch) = self.candidate_watches.get(service) else { return };
        let Some(row) = next_row(board, watch, spec) else { return };
        if watch.known_row.as_ref().is_some_and(|known| progress_rank(known) >= progress_rank(&row)) {
            return;
        }
        // A row that was learned from a peer, or written without an answer, is read before the next write builds on it.
        if watch.row_version.is_none() && !watch.is_row_absent {
            return send_read(board, service, out);
        }
        let key = RowKey::Rollout(service.clone());
        let op = StoreOp::Write { key, expected: watch.row_version, value: RowValue::Rollout(row) };
        board.store.send(write_purpose, op, &mut board.counters, out);
    }

    fn handle_read_reply(
        &mut self,
        board: &mut Blackboard,
        service: &ServiceName,
        reply: &StoreReply,
        out: &mut Vec<Action>,
    ) {
        let StoreReply::Read(row) = reply else { return };
        let Some(watch) = self.candidate_watches.get_mut(service) else { return };
        watch.is_row_absent = row.is_none();
        watch.row_version = row.as_ref().map(|row| row.version);
        let Some(RowValue::Rollout(row)) = row.as_ref().map(|row| &row.value) else { return };
        watch.is_superseded = row.candidate != watch.candidate && row.revision > board.document.revision;
        if watch.is_superseded {
            watch.row_version = None;
        }
        self.adopt_row(board, service, row, out);
    }

    /// Forgets the version of the row after a write, and reads the row back unless the write was not sent.
    ///
    /// Whatever the reply was, only the table service knows which row it holds.
    fn handle_write_reply(
        &mut self,
        board: &mut Blackboard,
        service: &ServiceName,
        reply: &StoreReply,
        out: &mut Vec<Action>,
    ) {
        let Some(watch) = self.candidate_watches.get_mut(service) else { return };
        watch.row_version = None;
        watch.is_row_absent = false;
        if *reply != StoreReply::NotSent {
            send_read(board, service, out);
        }
    }

    fn handle_peer_message(&mut self, board: &mut Blackboard, message: &PeerMessage, out: &mut Vec<Action>) {
        match message {
            PeerMessage::Counts { instance, counts } if *instance != board.identity.instance => {
                let document = board.document.clone();
                board.versions.merge_peer_counts(&document.content, *instance, counts);
            }
            PeerMessage::VersionBad { candidate, reason } => {
                let service = &candidate.version.service;
                let is_current = versions::candidate_of(&board.document.content, service).as_ref() == Some(candidate);
                if is_current && !board.versions.bad_candidates.contains_key(candidate) {
                    board.versions.bad_candidates.insert(candidate.clone(), reason.clone());
                    send_to_all(board, message, out);
                }
            }
            PeerMessage::RolloutStep { service, row, .. } => self.adopt_row(board, service, row, out),
            _ => {}
        }
    }

    /// Adopts a row of the current candidate that is further on than the one known, and sends it to all peers.
    fn adopt_row(&mut self, board: &mut Blackboard, service: &ServiceName, row: &RolloutRow, out: &mut Vec<Action>) {
        if versions::candidate_of(&board.document.content, service).as_ref() != Some(&row.candidate) {
            return;
        }
        let now = board.now;
        let watch = self
            .candidate_watches
            .entry(service.clone())
            .or_insert_with(|| CandidateWatch::new(row.candidate.clone(), now));
        if watch.candidate != row.candidate {
            *watch = CandidateWatch::new(row.candidate.clone(), now);
        }
        if watch.known_row.as_ref().is_some_and(|known| progress_rank(known) >= progress_rank(row)) {
            return;
        }
        watch.known_row = Some(row.clone());
        watch.row_known_since = now;
        watch.judge.begin_step();
        board.versions.rollouts.insert(service.clone(), row.clone());
        let from = board.identity.node.clone();
        let message = PeerMessage::RolloutStep { service: service.clone(), row: Box::new(row.clone()), from };
        send_to_all(board, &message, out);
    }

    /// Sends all peers the counts that have changed since they were last sent, unless the last message is too recent.
    ///
    /// Counts beyond `MAX_COUNTS_PER_MESSAGE` follow in the next message.
    fn send_changed_counts(&mut self, board: &Blackboard, out: &mut Vec<Action>) {
        if board.now < self.next_send_at {
            return;
        }
        let peers = board.members.alive().count() as u32;
        self.next_send_at = board.now + EVALUATION_INTERVAL * peers.div_ceil(PEERS_PER_INTERVAL).max(1);
        let changed =
            board.versions.own_counts.iter().filter(|(key, tally)| self.sent_counts.get(*key) != Some(*tally));
        let counts: Vec<VersionCounts> = changed.take(MAX_COUNTS_PER_MESSAGE).map(version_counts).collect();
        self.sent_counts.retain(|key, _| board.versions.own_counts.contains_key(key));
        self.sent_counts.extend(counts.iter().map(|counts| (counts.key.clone(), counts.tally)));
        if !counts.is_empty() {
            send_to_all(board, &PeerMessage::Counts { instance: board.identity.instance, counts }, out);
        }
    }

    /// Sends the known state to one random peer, so that nodes that missed messages catch up eventually.
    fn resend_state(&self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let peers: Vec<NodeName> = board.members.alive().map(|(node, _)| node.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[board.random.usize(0..peers.len())].clone();
        let mut send = |message| out.push(Action::SendToPeer(peer.clone(), Box::new(message)));
        for (service, watch) in &self.candidate_watches {
            if let Some(row) = &watch.known_row {
                let elapsed_ms = watch.elapsed(board.now).as_millis() as u64;
                let row = Box::new(RolloutRow { elapsed_ms, ..row.clone() });
                send(PeerMessage::RolloutStep { service: service.clone(), row, from: board.identity.node.clone() });
            }
        }
        for (candidate, reason) in &board.versions.bad_candidates {
            send(PeerMessage::VersionBad { candidate: candidate.clone(), reason: reason.clone() });
        }
        // In a large fleet each resend covers a random part of the instances.
        let instance_count = board.versions.peer_counts.len();
        let first_index = if instance_count > MAX_RESENT_INSTANCES { board.random.usize(0..instance_count) } else { 0 };
        let others =
            board.versions.peer_counts.iter().cycle().skip(first_index).take(instance_count.min(MAX_RESENT_INSTANCES));
        for (instance, counts) in others.chain([(&board.identity.instance, &board.versions.own_counts)]) {
            let counts = counts.iter().take(MAX_COUNTS_PER_MESSAGE).map(version_counts).collect();
            send(PeerMessage::Counts { instance: *instance, counts });
        }
    }
}

fn version_counts((key, tally): (&CountKey, &crate::tally::RouteTally)) -> VersionCounts {
    VersionCounts { key: key.clone(), tally: *tally }
}

fn send_read(board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
    let op = StoreOp::Read { key: RowKey::Rollout(service.clone()) };
    board.store.send(StorePurpose::ReadRollout(service.clone()), op, &mut board.counters, out);
}

/// Returns whether this node holds the rollout lease and so records progress.
///
/// Two holders at a time do no harm, as writes are conditional.
fn holds_rollout_lease(board: &Blackboard) -> bool {
    board.leases.holds(LeaseKind::Rollout, board.now)
}

fn send_to_all(board: &Blackboard, message: &PeerMessage, out: &mut Vec<Action>) {
    for (node, _) in board.members.alive() {
        out.push(Action::SendToPeer(node.clone(), Box::new(message.clone())));
    }
}

/// Returns how far a row has come; a row is only replaced by one with a higher rank.
fn progress_rank(row: &RolloutRow) -> (u32, u32) {
    match row.state {
        RolloutState::Comparing if row.trial => (0, row.step),
        RolloutState::Proved => (1, 0),
        RolloutState::Comparing => (2, row.step),
        RolloutState::Finished => (3, 0),
        RolloutState::RolledBack => (4, 0),
    }
}

/// Returns whether a finished version has been watched for another `finish_within` since it finished.
fn is_observation_over(row: &RolloutRow, elapsed: Duration, spec: &ServiceSpec) -> bool {
    let finish_within = spec.candidate.as_ref().map_or(Duration::ZERO, |candidate| candidate.finish_within);
    row.state == RolloutState::Finished && elapsed.saturating_sub(Duration::from_millis(row.elapsed_ms)) > finish_within
}

/// Returns the row to write next, or `None` if the known one stays.
fn next_row(board: &Blackboard, watch: &CandidateWatch, spec: &CandidateSpec) -> Option<RolloutRow> {
    let first_row = RolloutRow {
        candidate: watch.candidate.clone(),
        revision: board.document.revision,
        trial: spec.trial_only,
        state: RolloutState::Comparing,
        step: 0,
        reason: Arc::default(),
        elapsed_ms: 0,
    };
    let Some(known) = &watch.known_row else { return Some(first_row) };
    let elapsed = watch.elapsed(board.now);
    let row = RolloutRow { elapsed_ms: elapsed.as_millis() as u64, ..known.clone() };
    let rolled_back = |reason: Arc<str>| Some(RolloutRow { state: RolloutState::RolledBack, reason, ..row.clone() });
    if known.state == RolloutState::RolledBack {
        return None;
    }
    if let Some(reason) = board.versions.bad_candidates.get(&watch.candidate) {
        return rolled_back(reason.clone());
    }
    match known.state {
        RolloutState::Comparing if known.trial && !spec.trial_only => Some(first_row),
        RolloutState::Proved if !spec.trial_only => Some(first_row),
        RolloutState::Comparing => {
            if is_step_complete(watch, spec, board.now) {
                Some(advance_step(row, spec))
            } else if elapsed >= spec.finish_within {
                rolled_back(Arc::from("not proved in time"))
            } else {
                None
            }
        }
        _ => None,
    }
}

/// Returns whether a candidate has completed its current step.
///
/// The candidate must have passed the comparison, and the step must have lasted long enough for late faults to appear.
fn is_step_complete(watch: &CandidateWatch, spec: &CandidateSpec, now: Moment) -> bool {
    let steps = step_count(spec);
    let step = watch.known_row.as_ref().map_or(0, |row| row.step);
    let elapsed = watch.elapsed(now);
    // With few calls, waiting for each route to pass would exceed `finish_within`.
    let due_after = spec.finish_within * (step + 1) / (steps + 1);
    let scope = if elapsed < due_after { PassScope::EachRoute } else { PassScope::Pooled };
    let time_left_per_step = spec.finish_within.saturating_sub(elapsed) / steps.saturating_sub(step).max(1);
    let min_duration = (spec.finish_within / MIN_STEP_DIVISOR).min(time_left_per_step / 2);
    watch.judge.has_passed(scope) && now.since(watch.row_known_since) >= min_duration
}

/// Returns `row` advanced by one step: a trial ends as proved, and the last step as finished.
fn advance_step(row: RolloutRow, spec: &CandidateSpec) -> RolloutRow {
    if row.trial || spec.trial_only {
        return RolloutRow { state: RolloutState::Proved, ..row };
    }
    let step = row.step + 1;
    let is_full = step_share(spec, step) >= 1.0;
    let state = if is_full { RolloutState::Finished } else { RolloutState::Comparing };
    RolloutRow { state, step, ..row }
}
