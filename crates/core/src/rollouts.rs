//! Moves services to candidate versions: every node judges, the holder of the lease records.
//!
//! A node that finds a version bad stops sending to it and tells its peers at once; that needs no
//! store. What lasts stands in one row for each service, written on condition, and only ever moves
//! on: from a trial to the steps of share, to finished, and from anywhere to taken back.

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

/// Interval of looks at the counts, and of telling them.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Interval of telling one peer all that is known.
const REPEAT_EVERY: Duration = Duration::from_secs(5);
/// Most counts in one message.
const MOST_TOLD: usize = 512;
/// Peers for which the interval of telling counts grows by one look.
const PEERS_PER_LOOK: u32 = 16;
/// Most other instances whose counts are repeated at once.
const MOST_REPEATED: usize = 32;
/// Parts of the time to finish that a step takes at least.
const STEP_PARTS: u32 = 10;

/// What this node keeps of one candidate.
#[derive(Debug)]
struct CandidateWatch {
    candidate: CandidateKey,
    judge: VersionJudge,
    /// The row as this node knows it, and since when.
    known: Option<RolloutRow>,
    known_since: Moment,
    /// Version of the row in the table service, if this node read or wrote it last.
    row_version: Option<RowVersion>,
    /// Whether the table service was asked and has no row.
    absent: bool,
    /// Whether the row there belongs to a later document than the one in force here.
    superseded: bool,
}

impl CandidateWatch {
    fn new(candidate: CandidateKey, now: Moment) -> Self {
        Self {
            candidate,
            judge: VersionJudge::default(),
            known: None,
            known_since: now,
            row_version: None,
            absent: false,
            superseded: false,
        }
    }

    /// Time that the candidate has been compared.
    fn elapsed(&self, now: Moment) -> Duration {
        let before = self.known.as_ref().map_or(0, |row| row.elapsed_ms);
        Duration::from_millis(before) + now.since(self.known_since)
    }
}

/// Judges candidates and moves them on.
#[derive(Debug, Default)]
pub struct RolloutController {
    watches: BTreeMap<ServiceName, CandidateWatch>,
    told: InstanceCounts,
    look_at: Moment,
    tell_at: Moment,
    repeat_at: Moment,
}

impl Controller for RolloutController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if board.now >= self.look_at => self.look(board, out),
            Event::Peer(_, message) => self.on_peer(board, message, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::ReadRollout(service) => self.on_read(board, service, reply, out),
            StorePurpose::WriteRollout(service) => self.on_written(board, service, reply, out),
            _ => {}
        }
    }
}

impl RolloutController {
    fn look(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.look_at = board.now + LOOK_EVERY;
        let document = board.document.clone();
        let services = &document.content.services;
        self.watches.retain(|service, _| services.get(service).is_some_and(|spec| spec.candidate.is_some()));
        for (service, spec) in services {
            let Some(candidate) = &spec.candidate else { continue };
            self.watch(board, service, spec, candidate);
            self.judge(board, service, spec, out);
            if is_holder(board) {
                self.record(board, service, candidate, out);
            }
        }
        self.tell_counts(board, out);
        if board.now >= self.repeat_at && !self.watches.is_empty() {
            self.repeat_at = board.now + REPEAT_EVERY;
            self.repeat(board, out);
        }
    }

    /// Begins to watch a candidate, or takes over what the board knows of it.
    fn watch(&mut self, board: &Blackboard, service: &ServiceName, spec: &ServiceSpec, candidate: &CandidateSpec) {
        let key = versions::key_of(service, spec, &candidate.version);
        if self.watches.get(service).is_none_or(|watch| watch.candidate != key) {
            self.watches.insert(service.clone(), CandidateWatch::new(key, board.now));
        }
    }

    fn judge(&mut self, board: &mut Blackboard, service: &ServiceName, spec: &ServiceSpec, out: &mut Vec<Action>) {
        let Some(watch) = self.watches.get_mut(service) else { return };
        let soaked = watch.known.as_ref().is_some_and(|row| is_soaked(row, watch.elapsed(board.now), spec));
        if soaked || board.versions.bad.contains_key(&watch.candidate) {
            return;
        }
        let stable = board.versions.totals(&versions::key_of(service, spec, &spec.stable));
        let totals = board.versions.totals(&watch.candidate);
        let Some(finding) = watch.judge.look(&totals, &stable) else { return };
        let reason: Arc<str> = Arc::from(finding.to_string());
        board.versions.bad.insert(watch.candidate.clone(), reason.clone());
        let message = PeerMessage::VersionBad { candidate: watch.candidate.clone(), reason };
        tell_all(board, &message, out);
    }

    /// Writes what follows from the row, the verdict and the time.
    fn record(&mut self, board: &mut Blackboard, service: &ServiceName, spec: &CandidateSpec, out: &mut Vec<Action>) {
        let (read, write) = (StorePurpose::ReadRollout(service.clone()), StorePurpose::WriteRollout(service.clone()));
        if !board.store.may_ask(board.now) || board.store.is_open(&read) || board.store.is_open(&write) {
            return;
        }
        let Some(watch) = self.watches.get(service) else { return };
        let Some(row) = next_row(board, watch, spec) else { return };
        if watch.known.as_ref().is_some_and(|known| progress(known) >= progress(&row)) {
            return;
        }
        // What was heard from peers or written without an answer is read before it is built upon.
        if watch.row_version.is_none() && !watch.absent {
            return read_row(board, service, out);
        }
        let key = RowKey::Rollout(service.clone());
        let op = StoreOp::Write { key, expected: watch.row_version, value: RowValue::Rollout(row) };
        board.store.send(write, op, &mut board.counters, out);
    }

    fn on_read(&mut self, board: &mut Blackboard, service: &ServiceName, reply: &StoreReply, out: &mut Vec<Action>) {
        let StoreReply::Read(row) = reply else { return };
        let Some(watch) = self.watches.get_mut(service) else { return };
        watch.absent = row.is_none();
        watch.row_version = row.as_ref().map(|row| row.version);
        let Some(RowValue::Rollout(row)) = row.as_ref().map(|row| &row.value) else { return };
        watch.superseded = row.candidate != watch.candidate && row.revision > board.document.revision;
        if watch.superseded {
            watch.row_version = None;
        }
        self.learn(board, service, row, out);
    }

    /// Reads the row back after a write, whatever was answered: it is what the table service says it is.
    fn on_written(&mut self, board: &mut Blackboard, service: &ServiceName, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(watch) = self.watches.get_mut(service) else { return };
        watch.row_version = None;
        watch.absent = false;
        if *reply != StoreReply::NotSent {
            read_row(board, service, out);
        }
    }

    fn on_peer(&mut self, board: &mut Blackboard, message: &PeerMessage, out: &mut Vec<Action>) {
        match message {
            PeerMessage::Counts { instance, counts } if *instance != board.identity.instance => {
                let document = board.document.clone();
                board.versions.merge(&document.content, *instance, counts);
            }
            PeerMessage::VersionBad { candidate, reason } => {
                let service = &candidate.version.service;
                let named = versions::candidate_of(&board.document.content, service).as_ref() == Some(candidate);
                if named && !board.versions.bad.contains_key(candidate) {
                    board.versions.bad.insert(candidate.clone(), reason.clone());
                    tell_all(board, message, out);
                }
            }
            PeerMessage::RolloutStep { service, row, .. } => self.learn(board, service, row, out),
            _ => {}
        }
    }

    /// Takes over a row that has come further than the one known here, and passes it on.
    fn learn(&mut self, board: &mut Blackboard, service: &ServiceName, row: &RolloutRow, out: &mut Vec<Action>) {
        if versions::candidate_of(&board.document.content, service).as_ref() != Some(&row.candidate) {
            return;
        }
        let now = board.now;
        let watch =
            self.watches.entry(service.clone()).or_insert_with(|| CandidateWatch::new(row.candidate.clone(), now));
        if watch.candidate != row.candidate {
            *watch = CandidateWatch::new(row.candidate.clone(), now);
        }
        if watch.known.as_ref().is_some_and(|known| progress(known) >= progress(row)) {
            return;
        }
        watch.known = Some(row.clone());
        watch.known_since = now;
        watch.judge.begin_step();
        board.versions.rollouts.insert(service.clone(), row.clone());
        let from = board.identity.node.clone();
        let message = PeerMessage::RolloutStep { service: service.clone(), row: Box::new(row.clone()), from };
        tell_all(board, &message, out);
    }

    /// Tells all peers the counts that have changed.
    fn tell_counts(&mut self, board: &Blackboard, out: &mut Vec<Action>) {
        if board.now < self.tell_at {
            return;
        }
        let peers = board.members.alive().count() as u32;
        self.tell_at = board.now + LOOK_EVERY * peers.div_ceil(PEERS_PER_LOOK).max(1);
        let changed = board.versions.own.iter().filter(|(key, tally)| self.told.get(*key) != Some(*tally));
        let counts: Vec<VersionCounts> = changed.take(MOST_TOLD).map(counts_of).collect();
        self.told.retain(|key, _| board.versions.own.contains_key(key));
        self.told.extend(counts.iter().map(|counts| (counts.key.clone(), counts.tally)));
        if !counts.is_empty() {
            tell_all(board, &PeerMessage::Counts { instance: board.identity.instance, counts }, out);
        }
    }

    /// Tells one peer all that is known, so that what was lost on the way arrives in the end.
    fn repeat(&self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let peers: Vec<NodeName> = board.members.alive().map(|(node, _)| node.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[board.random.usize(0..peers.len())].clone();
        let mut tell = |message| out.push(Action::Tell(peer.clone(), Box::new(message)));
        for (service, watch) in &self.watches {
            if let Some(row) = &watch.known {
                let elapsed_ms = watch.elapsed(board.now).as_millis() as u64;
                let row = Box::new(RolloutRow { elapsed_ms, ..row.clone() });
                tell(PeerMessage::RolloutStep { service: service.clone(), row, from: board.identity.node.clone() });
            }
        }
        for (candidate, reason) in &board.versions.bad {
            tell(PeerMessage::VersionBad { candidate: candidate.clone(), reason: reason.clone() });
        }
        // In a large fleet another part of the instances each time.
        let known = board.versions.told.len();
        let start = if known > MOST_REPEATED { board.random.usize(0..known) } else { 0 };
        let others = board.versions.told.iter().cycle().skip(start).take(known.min(MOST_REPEATED));
        for (instance, counts) in others.chain([(&board.identity.instance, &board.versions.own)]) {
            let counts = counts.iter().take(MOST_TOLD).map(counts_of).collect();
            tell(PeerMessage::Counts { instance: *instance, counts });
        }
    }
}

fn counts_of((key, tally): (&CountKey, &crate::tally::RouteTally)) -> VersionCounts {
    VersionCounts { key: key.clone(), tally: *tally }
}

fn read_row(board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
    let op = StoreOp::Read { key: RowKey::Rollout(service.clone()) };
    board.store.send(StorePurpose::ReadRollout(service.clone()), op, &mut board.counters, out);
}

/// Whether this node records. Its writes are conditional anyway.
fn is_holder(board: &Blackboard) -> bool {
    board.leases.holds(LeaseKind::Rollout, board.now)
}

fn tell_all(board: &Blackboard, message: &PeerMessage, out: &mut Vec<Action>) {
    for (node, _) in board.members.alive() {
        out.push(Action::Tell(node.clone(), Box::new(message.clone())));
    }
}

/// How far a row has come; a row only ever gives way to one that has come further.
fn progress(row: &RolloutRow) -> (u32, u32) {
    match row.state {
        RolloutState::Comparing if row.trial => (0, row.step),
        RolloutState::Proved => (1, 0),
        RolloutState::Comparing => (2, row.step),
        RolloutState::Finished => (3, 0),
        RolloutState::TakenBack => (4, 0),
    }
}

/// Whether a finished version has been watched for as long again as it had to finish.
fn is_soaked(row: &RolloutRow, elapsed: Duration, spec: &ServiceSpec) -> bool {
    let within = spec.candidate.as_ref().map_or(Duration::ZERO, |candidate| candidate.finish_within);
    row.state == RolloutState::Finished && elapsed.saturating_sub(Duration::from_millis(row.elapsed_ms)) > within
}

/// The row that shall stand next; none if the one known stays.
fn next_row(board: &Blackboard, watch: &CandidateWatch, spec: &CandidateSpec) -> Option<RolloutRow> {
    let first = RolloutRow {
        candidate: watch.candidate.clone(),
        revision: board.document.revision,
        trial: spec.trial_only,
        state: RolloutState::Comparing,
        step: 0,
        reason: Arc::default(),
        elapsed_ms: 0,
    };
    let Some(known) = &watch.known else { return Some(first) };
    let elapsed = watch.elapsed(board.now);
    let row = RolloutRow { elapsed_ms: elapsed.as_millis() as u64, ..known.clone() };
    let taken_back = |reason: Arc<str>| Some(RolloutRow { state: RolloutState::TakenBack, reason, ..row.clone() });
    if known.state == RolloutState::TakenBack {
        return None;
    }
    if let Some(reason) = board.versions.bad.get(&watch.candidate) {
        return taken_back(reason.clone());
    }
    match known.state {
        RolloutState::Comparing if known.trial && !spec.trial_only => Some(first),
        RolloutState::Proved if !spec.trial_only => Some(first),
        RolloutState::Comparing => {
            if is_step_over(watch, spec, board.now) {
                Some(step_on(row, spec))
            } else if elapsed >= spec.finish_within {
                taken_back(Arc::from("not proved in time"))
            } else {
                None
            }
        }
        _ => None,
    }
}

/// Whether a candidate may go on: it passed this step, and had the time to show faults that come late.
fn is_step_over(watch: &CandidateWatch, spec: &CandidateSpec, now: Moment) -> bool {
    let steps = step_count(spec);
    let step = watch.known.as_ref().map_or(0, |row| row.step);
    let elapsed = watch.elapsed(now);
    // Where calls are few, single routes cannot be waited for without missing the set time.
    let due = spec.finish_within * (step + 1) / (steps + 1);
    let scope = if elapsed < due { PassScope::EachRoute } else { PassScope::Pooled };
    let time_left = spec.finish_within.saturating_sub(elapsed) / steps.saturating_sub(step).max(1);
    let least = (spec.finish_within / STEP_PARTS).min(time_left / 2);
    watch.judge.passed(scope) && now.since(watch.known_since) >= least
}

fn step_on(row: RolloutRow, spec: &CandidateSpec) -> RolloutRow {
    if row.trial || spec.trial_only {
        return RolloutRow { state: RolloutState::Proved, ..row };
    }
    let step = row.step + 1;
    let whole = step_share(spec, step) >= 1.0;
    let state = if whole { RolloutState::Finished } else { RolloutState::Comparing };
    RolloutRow { state, step, ..row }
}
