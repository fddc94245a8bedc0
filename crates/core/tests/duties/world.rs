//! Simulated nodes that compete for a duty, and the store's table of leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::clock::Moment;
use wasabipier_core::fenced_lease::{FencedRow, LeaseClaim, LeaseReply, LeaseStep};
use wasabipier_core::names::{InstanceId, NodeName};
use wasabipier_core::relay::duties::{DutyKind, DutyTable};
use wasabipier_core::relay::store_version::StoreVersion;

use crate::oracle::{DutyOracle, VmName};

/// Length of the lease in milliseconds.
pub const LEASE_MS: u64 = 3_000;
/// Interval at which nodes check what is due.
const TICK_MS: u64 = 25;
/// Time after which nodes give a call up: the renewal interval.
const CALL_TIMEOUT_MS: u64 = LEASE_MS / 4;
/// Time from the end of all faults within which a node must have the duty: the lease, two margins and two renewal
/// intervals.
const RECOVERY_MS: u64 = LEASE_MS + 2 * LEASE_MS / 10 + 2 * LEASE_MS / 4;
/// Clock rates of the nodes, in thousandths of the true time.
const CLOCK_RATES: [u64; 3] = [1_000, 1_010, 990];
const KIND: DutyKind = DutyKind::Metering;

/// How the store treats the calls of a node.
#[derive(Clone, Copy, Debug)]
pub enum StoreMode {
    Sound,
    /// Refuses calls, which are not carried out.
    Refuses,
    /// Carries calls out, and their answers are lost.
    LosesAnswers,
    /// Calls never arrive.
    LosesCalls,
    /// Calls are carried out at once, and answered after this time.
    SlowAnswers {
        ms: u64,
    },
    /// Calls are carried out after this time, also when their sender has given them up.
    Late {
        ms: u64,
    },
}

/// A call that a node waits for.
struct PendingCall {
    number: u64,
    is_write: bool,
    sent_at_ms: u64,
    reply: Option<LeaseReply>,
    /// Time from which on the node has the reply.
    answered_at_ms: u64,
}

struct Node {
    name: NodeName,
    instance: u64,
    table: DutyTable,
    is_candidate: bool,
    paused_until_ms: u64,
    mode: StoreMode,
    call: Option<PendingCall>,
}

/// A call on its way to the store.
struct LateCall {
    due_ms: u64,
    node: usize,
    number: u64,
    step: LeaseStep,
}

#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    rows: BTreeMap<Arc<str>, (u64, FencedRow)>,
}

/// Simulated nodes, the store and the oracle.
pub struct DutyWorld {
    time_ms: u64,
    nodes: Vec<Node>,
    store: Store,
    copy: Store,
    late_calls: Vec<LateCall>,
    instance_count: u64,
    call_count: u64,
    pub oracle: DutyOracle,
}

fn new_node(number: usize, instance: u64) -> Node {
    Node {
        name: NodeName::new(format!("n{number}")),
        instance,
        table: DutyTable::default(),
        is_candidate: true,
        paused_until_ms: 0,
        mode: StoreMode::Sound,
        call: None,
    }
}

impl Node {
    fn vm(&self) -> VmName {
        (self.name.to_string(), self.instance)
    }

    fn next_step(&mut self, now: Moment) -> Option<LeaseStep> {
        let claim = claim(&self.name, self.instance, self.is_candidate);
        self.table.next_step(KIND, &claim, self.is_candidate, now)
    }

    fn handle_reply(&mut self, reply: LeaseReply, now: Moment) -> Option<LeaseStep> {
        let claim = claim(&self.name, self.instance, self.is_candidate);
        self.table.handle_reply(KIND, &claim, reply, now)
    }
}

fn claim(node: &NodeName, instance: u64, can_acquire: bool) -> LeaseClaim<'_> {
    LeaseClaim { node, instance: InstanceId(instance), length: Duration::from_millis(LEASE_MS), can_acquire }
}

impl DutyWorld {
    pub fn new(node_count: usize) -> Self {
        Self {
            time_ms: 0,
            nodes: (0..node_count).map(|number| new_node(number, number as u64)).collect(),
            store: Store::default(),
            copy: Store::default(),
            late_calls: Vec::new(),
            instance_count: node_count as u64,
            call_count: 0,
            oracle: DutyOracle::new(LEASE_MS),
        }
    }

    pub fn pause(&mut self, node: usize, ms: u64) {
        self.nodes[node].paused_until_ms = self.time_ms + ms;
    }

    pub fn set_mode(&mut self, node: usize, mode: StoreMode) {
        self.nodes[node].mode = mode;
    }

    pub fn set_candidate(&mut self, node: usize, is_candidate: bool) {
        self.nodes[node].is_candidate = is_candidate;
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = new_node(node, self.instance_count);
        self.instance_count += 1;
    }

    pub fn copy_store(&mut self) {
        self.copy = self.store.clone();
    }

    pub fn restore_store(&mut self) {
        self.store = Store { era: self.store.era + 1, ..self.copy.clone() };
    }

    /// Refuses the token of the node that acts, as after a higher one.
    pub fn refuse_holder(&mut self) {
        if let Some(holder) = self.holder() {
            self.oracle.record_refusal();
            self.nodes[holder].table.end_right(KIND);
        }
    }

    /// Returns the node that may act and is not paused.
    pub fn holder(&self) -> Option<usize> {
        let may_act = |number: &usize| self.nodes[*number].table.held(KIND, self.local_time(*number)).is_some();
        (0..self.nodes.len()).find(|number| may_act(number) && self.nodes[*number].paused_until_ms <= self.time_ms)
    }

    /// Returns the fencing token in the row of the present era.
    pub fn row_fence(&self) -> u64 {
        self.store.rows.get(&KIND.row_key(self.store.era)).map_or(0, |(_, row)| row.fence)
    }

    /// Ends all faults, with late calls carried out at once, and checks that a node has the duty in time.
    pub fn end_faults_and_check(&mut self) {
        for late in std::mem::take(&mut self.late_calls) {
            self.carry_out(late.node, late.number, &late.step);
        }
        for node in &mut self.nodes {
            (node.paused_until_ms, node.mode, node.is_candidate) = (self.time_ms, StoreMode::Sound, true);
        }
        let ended_at_ms = self.time_ms;
        while self.holder().is_none() {
            self.run(TICK_MS);
            if self.time_ms > ended_at_ms + RECOVERY_MS {
                self.oracle.violations.push(format!("no holder {RECOVERY_MS} ms after {ended_at_ms} ms"));
                return;
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end_ms = self.time_ms + ms;
        while self.time_ms < end_ms {
            self.time_ms += TICK_MS;
            let (due, late) =
                std::mem::take(&mut self.late_calls).into_iter().partition(|call| call.due_ms <= self.time_ms);
            self.late_calls = late;
            let due: Vec<LateCall> = due;
            for call in &due {
                self.carry_out(call.node, call.number, &call.step);
            }
            for number in 0..self.nodes.len() {
                if self.nodes[number].paused_until_ms <= self.time_ms {
                    self.run_node(number);
                }
            }
            self.check_holders();
        }
    }

    fn local_time(&self, number: usize) -> Moment {
        Moment(1_000_000 + self.time_ms * CLOCK_RATES[number] / 1_000)
    }

    /// Lets a node act if it may, and handle replies and what is due.
    fn run_node(&mut self, number: usize) {
        let now = self.local_time(number);
        if let Some(held) = self.nodes[number].table.held(KIND, now) {
            self.oracle.record_call(&self.nodes[number].vm(), held.fence, self.time_ms);
        }
        loop {
            let node = &mut self.nodes[number];
            let step = match node.call.take() {
                None => node.next_step(now),
                Some(PendingCall { reply: Some(reply), answered_at_ms, .. }) if answered_at_ms <= self.time_ms => {
                    node.handle_reply(reply, now)
                }
                Some(call) if self.time_ms >= call.sent_at_ms + CALL_TIMEOUT_MS => {
                    node.handle_reply(if call.is_write { LeaseReply::WriteLost } else { LeaseReply::ReadFailed }, now)
                }
                Some(call) => return node.call = Some(call),
            };
            let Some(step) = step else { return };
            self.send(number, step);
        }
    }

    fn send(&mut self, number: usize, step: LeaseStep) {
        self.call_count += 1;
        let (call, is_write) = (self.call_count, matches!(step, LeaseStep::Write(_)));
        let mode = self.nodes[number].mode;
        let refusal = if is_write { LeaseReply::WriteRefused } else { LeaseReply::ReadFailed };
        let reply = matches!(mode, StoreMode::Refuses).then_some(refusal);
        let sent_at_ms = self.time_ms;
        let delay_ms = if let StoreMode::SlowAnswers { ms } = mode { ms } else { 0 };
        let answered_at_ms = sent_at_ms + delay_ms;
        self.nodes[number].call = Some(PendingCall { number: call, is_write, sent_at_ms, reply, answered_at_ms });
        match mode {
            StoreMode::Sound | StoreMode::SlowAnswers { .. } => self.carry_out(number, call, &step),
            // The number of no call.
            StoreMode::LosesAnswers => self.carry_out(number, 0, &step),
            StoreMode::Late { ms } => {
                self.late_calls.push(LateCall { due_ms: self.time_ms + ms, node: number, number: call, step });
            }
            StoreMode::Refuses | StoreMode::LosesCalls => {}
        }
    }

    /// Carries a call out, and answers it if the node still waits for it.
    fn carry_out(&mut self, number: usize, call: u64, step: &LeaseStep) {
        let reply = self.apply(step);
        if let Some(pending) = self.nodes[number].call.as_mut().filter(|pending| pending.number == call) {
            pending.reply = Some(reply);
        }
    }

    /// Returns the reply that the node's input and output derives from the store's.
    fn apply(&mut self, step: &LeaseStep) -> LeaseReply {
        let era = self.store.era;
        let row = |store: &Store, key: &str| {
            store.rows.get(key).map(|(version, row)| (StoreVersion::new(era, *version), row.clone()))
        };
        let LeaseStep::Write(write) = step else {
            return LeaseReply::Row { era, row: row(&self.store, &KIND.row_key(era)) };
        };
        let key = KIND.row_key(write.era);
        let current = row(&self.store, &key);
        let version = current.as_ref().map_or(0, |(version, _)| version.number);
        if version != write.expected.map_or(0, |version| version.number) {
            let is_present = era == write.era;
            return if is_present { LeaseReply::Row { era, row: current } } else { LeaseReply::WriteLost };
        }
        self.store.version += 1;
        self.store.rows.insert(key, (self.store.version, write.row.clone()));
        if era == write.era {
            self.oracle.record_row(era, write.row.holder.as_str(), self.time_ms);
        }
        LeaseReply::Written(StoreVersion::new(era, self.store.version))
    }

    /// Tells the oracle which nodes may act, paused ones included, which act as soon as they resume.
    fn check_holders(&mut self) {
        let numbers = 0..self.nodes.len();
        let may_act = |number: &usize| self.nodes[*number].table.held(KIND, self.local_time(*number)).is_some();
        let holders: Vec<VmName> = numbers.filter(may_act).map(|number| self.nodes[number].vm()).collect();
        self.oracle.record_holders(&holders, self.time_ms);
    }
}
