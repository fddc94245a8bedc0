//! Simulation of a fleet: nodes with clocks, a lossy network, a VM list that lags, callers and operators.
//!
//! Nodes are named by their index. All times are milliseconds of the simulation's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::action::{DocumentSource, LoadOrder};
use wasabipier_core::event::{OrderReply, VmEntry, VmState};
use wasabipier_core::message::NodeState;
use wasabipier_core::prelude::*;

use crate::fixtures::{self, BODIES, TARGETS};
use crate::oracle::{Call, Oracle};
use crate::table::{Table, TableMode};
use crate::targets::{RunFault, SimTarget};

/// Maximum number of nodes.
pub const MAX_NODES: usize = 5;
/// Interval of the ticks of each node.
const TICK_INTERVAL_MS: u64 = 100;
/// Interval at which nodes receive the VM list.
const VM_LIST_INTERVAL_MS: u64 = 1_000;
/// Time until the start or the end of a node shows in the VM list.
const VM_LIST_LAG_MS: u64 = 3_000;

/// An event that happens at a set time of the simulation.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// Ticks an instance of a node.
    Tick(usize, InstanceId),
    /// Delivers an event to a node, or only to the given instance of it.
    NodeEvent(usize, Option<InstanceId>, Event),
    /// Applies an operation at the table service; the reply goes to an instance of a node after a delay, if at all.
    ApplyStoreOp(StoreOp, Option<(usize, InstanceId, StoreTicket, u64)>),
    /// Sends an event of a target's run to the node that started the run.
    TargetResult(TargetName, u64, AttemptEvent),
    /// Ends a run at a target.
    EndRun(TargetName, u64),
    /// Crashes a target.
    CrashTarget(TargetName),
    /// Delivers an order of a node's instance to an engine, which answers with the given reply or refuses.
    DeliverOrder(usize, InstanceId, Box<LoadOrder>, OrderReply),
    /// Starts a node's process.
    StartNode(usize),
    /// Sends the VM list to all nodes.
    ListVms,
}

/// A simulated node.
#[derive(Debug)]
pub struct SimNode {
    /// The node's process, or `None` while it does not run.
    pub core: Option<NodeCore>,
    pub instance: InstanceId,
    /// Time of the last start or end of the process, or 0 if it never ran.
    state_changed_at: u64,
    stop_requested_at: Option<u64>,
    pub paused_until: u64,
    /// Events that arrived while the node was paused.
    pub backlog: Vec<Event>,
    /// Last time at which a fault of the network or the table service, a pause or a start affected the node.
    pub last_disturbed_at: u64,
    /// Revision that was in force on the node at its last check.
    revision: Revision,
    /// Fingerprints of content that the node knows to be harmful, with the time at which it was first seen to know.
    pub harmful_content: BTreeMap<Fingerprint, u64>,
}

/// The state of the simulation, with the faults in force.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<SimNode>,
    pub table: Table,
    pub oracle: Oracle,
    pub targets: BTreeMap<TargetName, SimTarget>,
    /// Pairs of nodes; peer messages from the first to the second are dropped.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Percentage of peer messages that are lost; as many are sent twice.
    pub loss_percent: u32,
    /// Maximum random delay of a peer message.
    pub max_delay_ms: u64,
    /// Percentage of runs at targets that have a random fault.
    pub fault_percent: u32,
    /// Fault of each run, instead of a random one.
    pub forced_fault: Option<RunFault>,
    /// Duration of each run, instead of a random one.
    pub forced_duration_ms: Option<u64>,
    pub rng: fastrand::Rng,
    /// Events to come, by time and order of scheduling.
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    /// Last number that was given out by `next_number`.
    pub counter: u64,
    /// Last time at which the simulation checked the mode of the table service and it was a fault.
    table_disturbed_at: u64,
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

fn node_dc(index: usize) -> DcName {
    DcName::new(["east", "west"][index % 2])
}

fn loopback_address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + index as u16).into()
}

impl World {
    /// Returns a fleet in which `node_count` nodes serve the first document.
    pub fn new(seed: u64, node_count: usize) -> Self {
        let unstarted_node = || SimNode {
            core: None,
            instance: InstanceId(0),
            state_changed_at: 0,
            stop_requested_at: None,
            paused_until: 0,
            backlog: Vec::new(),
            last_disturbed_at: 0,
            revision: Revision(0),
            harmful_content: BTreeMap::new(),
        };
        let targets = TARGETS.iter().zip(1..).map(|((name, ..), instance)| {
            let target = SimTarget::new(instance);
            (TargetName::new(name), target)
        });
        let mut world = Self {
            now: 100_000,
            nodes: (0..MAX_NODES).map(|_| unstarted_node()).collect(),
            table: Table::default(),
            oracle: Oracle::default(),
            targets: targets.collect(),
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            max_delay_ms: 0,
            fault_percent: 0,
            forced_fault: None,
            forced_duration_ms: None,
            rng: fastrand::Rng::with_seed(seed),
            event_queue: BTreeMap::new(),
            counter: 100,
            table_disturbed_at: 0,
        };
        (0..node_count).for_each(|index| world.start_node(index));
        world.schedule(0, ScheduledEvent::ListVms);
        world.promote(0, fixtures::document(&[], None), Revision(1));
        world.run(3_000);
        world
    }

    /// Returns a new number for ids, nonces and the order of events.
    pub fn next_number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    /// Schedules an event for `delay_ms` from now.
    pub fn schedule(&mut self, delay_ms: u64, scheduled: ScheduledEvent) {
        let sequence = self.next_number();
        self.event_queue.insert((self.now + delay_ms, sequence), scheduled);
    }

    /// Advances the time by `duration_ms` and runs the events that are due.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while let Some(entry) = self.event_queue.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = self.now.max(entry.key().0);
            let scheduled = entry.remove();
            self.run_scheduled_event(scheduled);
        }
        self.now = until;
    }

    fn run_scheduled_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick(index, instance) => self.tick_node(index, instance),
            ScheduledEvent::NodeEvent(index, instance, event) => {
                if instance.is_none_or(|instance| self.nodes[index].instance == instance) {
                    self.handle_event(index, event);
                }
            }
            ScheduledEvent::ApplyStoreOp(op, reply_to) => {
                let reply = self.table.apply(&op, self.now);
                if let Some((index, instance, ticket, delay_ms)) = reply_to {
                    self.schedule(
                        delay_ms,
                        ScheduledEvent::NodeEvent(index, Some(instance), Event::Store(ticket, Box::new(reply))),
                    );
                }
            }
            ScheduledEvent::TargetResult(target, run, event) => self.deliver_result(&target, run, event),
            ScheduledEvent::EndRun(target, run) => {
                self.targets.get_mut(&target).map(|target| target.runs.remove(&run));
            }
            ScheduledEvent::CrashTarget(target) => self.crash_target(&target, 500),
            ScheduledEvent::DeliverOrder(index, instance, order, reply) => {
                self.receive_load_order(index, instance, &order, reply);
            }
            ScheduledEvent::StartNode(index) => self.start_node(index),
            ScheduledEvent::ListVms => self.list_vms(),
        }
    }

    /// Starts a node's process as a new instance, unless it runs.
    pub fn start_node(&mut self, index: usize) {
        if self.nodes[index].core.is_some() {
            return;
        }
        let instance = InstanceId(self.rng.u64(1..));
        let identity = Identity {
            node: node_name(index),
            instance,
            dc: node_dc(index),
            caller_address: loopback_address(index),
            peer_address: loopback_address(index + 100),
        };
        let peers =
            (0..2).map(|peer| PeerSpec { node: node_name(peer), address: loopback_address(peer + 100) }).collect();
        let config = NodeConfig { identity, tuning: Tuning::default(), seed: instance.0, peers };
        let (core, _) = NodeCore::new(config);
        let now = self.now;
        let node = &mut self.nodes[index];
        *node = SimNode {
            core: Some(core),
            instance,
            state_changed_at: now,
            stop_requested_at: None,
            paused_until: 0,
            backlog: Vec::new(),
            last_disturbed_at: now,
            revision: Revision(0),
            harmful_content: BTreeMap::new(),
        };
        self.schedule(1, ScheduledEvent::Tick(index, instance));
    }

    /// Ends a node's process; it starts again after `downtime_ms` if given.
    pub fn crash_node(&mut self, index: usize, downtime_ms: Option<u64>) {
        self.nodes[index].core = None;
        self.nodes[index].state_changed_at = self.now;
        if let Some(downtime_ms) = downtime_ms {
            self.schedule(downtime_ms, ScheduledEvent::StartNode(index));
        }
    }

    /// Holds back the events of a node for `duration_ms`.
    pub fn pause_node(&mut self, index: usize, duration_ms: u64) {
        self.nodes[index].paused_until = self.now + duration_ms;
    }

    /// Asks a node that is serving to stop gracefully.
    pub fn stop_node(&mut self, index: usize) {
        let is_serving = self.nodes[index].core.as_ref().is_some_and(|core| core.board().state == NodeState::Serving);
        if is_serving {
            self.nodes[index].stop_requested_at = Some(self.now);
            self.handle_event(index, Event::StopRequested);
        }
    }

    fn tick_node(&mut self, index: usize, instance: InstanceId) {
        if self.nodes[index].instance != instance || self.nodes[index].core.is_none() {
            return;
        }
        let has_cut_link = self.cut_links.iter().any(|(from, to)| *from == index || *to == index);
        let is_table_disturbed = self.table.mode != TableMode::Up;
        if is_table_disturbed {
            self.table_disturbed_at = self.now;
        }
        if has_cut_link
            || is_table_disturbed
            || self.loss_percent > 0
            || self.max_delay_ms > 0
            || self.nodes[index].paused_until > self.now
        {
            self.nodes[index].last_disturbed_at = self.now;
        }
        self.handle_event(index, Event::Tick);
        self.schedule(TICK_INTERVAL_MS, ScheduledEvent::Tick(index, instance));
    }

    /// Passes an event to a node and performs the resulting actions. A paused node gets the event with the first one
    /// after its pause; successive ticks are then merged.
    fn handle_event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if node.core.is_none() {
            return;
        }
        if node.paused_until > self.now {
            node.backlog.push(event);
            return;
        }
        let mut events = std::mem::take(&mut node.backlog);
        events.push(event);
        events.dedup_by(|one, other| matches!((one, other), (Event::Tick, Event::Tick)));
        let mut has_stopped = false;
        for event in events {
            let local_now = self.local_time(index);
            let Some(core) = &mut self.nodes[index].core else { return };
            let actions = core.handle(local_now, WallTime(self.now), &event);
            self.check_node(index);
            // A stop takes effect after the other actions and events, so what callers sent before it is still handled.
            let (stop_actions, other_actions): (Vec<_>, Vec<_>) =
                actions.into_iter().partition(|action| matches!(action, Action::Stopped));
            for action in other_actions {
                self.perform_action(index, action);
            }
            has_stopped |= !stop_actions.is_empty();
        }
        if has_stopped {
            self.handle_stopped(index);
        }
    }

    /// Returns the time of a node's clock. Clocks have different offsets and run up to one percent fast or slow.
    pub fn local_time(&self, index: usize) -> Moment {
        let rate = 990 + 5 * index as u64;
        Moment(self.now * rate / 1_000 + 50_000 * index as u64)
    }

    /// Checks what must hold for a node at any time, and records its limits and its harmful content.
    fn check_node(&mut self, index: usize) {
        self.check_leases(index);
        self.check_seats(index);
        let node = &mut self.nodes[index];
        let Some(core) = &node.core else { return };
        for (target, view) in core.board().targets.iter() {
            self.oracle.record_limit(target, view.limit_at(&core.board().tuning, core.board().now), self.now);
        }
        for content in (0..4).map(|goal| fixtures::crashing_fingerprint(&fixtures::goal(goal))) {
            if core.board().harmful.count_crashed_targets(content) >= 2 {
                node.harmful_content.entry(content).or_insert(self.now);
            }
        }
        let revision = core.board().document.revision;
        if revision < node.revision {
            self.oracle.violations.push(format!(
                "{} returned to the earlier revision {}",
                node_name(index),
                revision.0
            ));
        }
        node.revision = revision;
    }

    fn perform_action(&mut self, index: usize, action: Action) {
        let instance = self.nodes[index].instance;
        match action {
            Action::Send(request) => self.send_attempt(index, &request),
            Action::Cancel(attempt) => self.cancel_attempt(index, attempt),
            Action::Answer(call, part) => self.deliver_answer(call, part),
            Action::SendToPeer(to, message) => self.send_peer_message(index, &to, &message),
            Action::Store(ticket, op) => self.send_store_op(index, ticket, *op),
            Action::Order(order) => self.send_load_order(index, &order),
            Action::Inspect(target, _) => self.inspect_target(index, &target),
            Action::Parse(source) => self.parse_document(index, &source),
            Action::Charge(line) => self.oracle.check_charge(instance, &line, self.now),
            Action::Promoted(call, answer) => self.oracle.record_promote_answer(call, answer),
            _ => {}
        }
    }

    /// Passes a part of an answer to the oracle, and checks that a stopping node does not refuse too early.
    fn deliver_answer(&mut self, id: CallId, part: AnswerPart) {
        let Some(call) = self.oracle.calls.get(&id) else { return };
        let has_claim_row = self.table.row(&RowKey::Claim(call.key.clone())).is_some();
        if self.table.mode != TableMode::Up {
            self.table_disturbed_at = self.now;
        }
        let was_table_disturbed = self.table_disturbed_at > call.asked_at;
        let stop_requested_at = self.nodes[call.node].stop_requested_at;
        if let AnswerPart::Final(answer) = &part
            && answer.refusal == Some(RefusalKind::NotReady)
            && stop_requested_at.is_some_and(|stop| self.now < stop + 3_000)
            && self.nodes[call.node].last_disturbed_at + 3_000 < self.now
        {
            self.oracle
                .violations
                .push(format!("{}: refused while callers may still use the node's address", call.key));
        }
        self.oracle.check_answer(id, part, self.now, has_claim_row || was_table_disturbed);
    }

    /// Checks that a node that stopped has no open calls, and restarts it after five seconds.
    fn handle_stopped(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        let has_open_call = self.oracle.calls.values().any(|call| {
            call.instance == instance && call.node == index && call.answer.is_none() && !call.is_disconnected
        });
        if has_open_call {
            self.oracle.violations.push(format!("{} stopped with an open call", node_name(index)));
        }
        self.crash_node(index, Some(5_000));
    }

    /// Sends a message between nodes, with loss, duplicates and delay as set.
    fn send_peer_message(&mut self, from: usize, to: &NodeName, message: &PeerMessage) {
        let Some(index) = (0..MAX_NODES).find(|index| node_name(*index) == *to) else { return };
        if self.cut_links.contains(&(from, index)) {
            return;
        }
        let copies = if self.loss_percent == 0 { 1 } else { 1 + u32::from(self.rng.u32(0..100) < self.loss_percent) };
        for _ in 0..copies {
            if self.rng.u32(0..100) >= self.loss_percent {
                let delay_ms = 1 + self.rng.u64(0..=self.max_delay_ms);
                let event = Event::Peer(node_name(from), Box::new(message.clone()));
                self.schedule(delay_ms, ScheduledEvent::NodeEvent(index, None, event));
            }
        }
    }

    /// Sends an operation to the table service, whose mode decides the effect and the reply.
    fn send_store_op(&mut self, index: usize, ticket: StoreTicket, op: StoreOp) {
        let timing = self.table.sample_timing(&mut self.rng);
        let instance = self.nodes[index].instance;
        let reply_to = timing
            .reply_after
            .zip(timing.effect_after)
            .map(|(reply_ms, effect_ms)| (index, instance, ticket, reply_ms - effect_ms));
        if let Some(effect_ms) = timing.effect_after {
            self.schedule(effect_ms, ScheduledEvent::ApplyStoreOp(op, reply_to));
        }
        if reply_to.is_none() {
            let reply = if self.table.mode == TableMode::Refusing { StoreReply::NotSent } else { StoreReply::Lost };
            let event = Event::Store(ticket, Box::new(reply));
            self.schedule(timing.timeout, ScheduledEvent::NodeEvent(index, Some(instance), event));
        }
    }

    /// Sends a load report from a target to a node.
    pub fn send_load_report(&mut self, target: usize, index: usize) {
        let target = TargetName::new(TARGETS[target % TARGETS.len()].0);
        let report = self.targets[&target].load_report();
        let delay_ms = self.rng.u64(0..1_500);
        self.schedule(
            delay_ms,
            ScheduledEvent::NodeEvent(
                index,
                None,
                Event::LoadReported(target, LoadReport { age_ms: delay_ms as u32, ..report }),
            ),
        );
    }

    /// Sends the VM list, which lags by `VM_LIST_LAG_MS`, to all nodes and schedules the next one.
    fn list_vms(&mut self) {
        let is_listed =
            |node: &SimNode| node.core.is_some() == (self.now - node.state_changed_at.min(self.now) > VM_LIST_LAG_MS);
        let entries: Vec<VmEntry> = (0..MAX_NODES)
            .filter(|index| self.nodes[*index].state_changed_at > 0 && is_listed(&self.nodes[*index]))
            .map(|index| VmEntry {
                node: node_name(index),
                dc: node_dc(index),
                caller_address: loopback_address(index),
                peer_address: loopback_address(index + 100),
                state: if self.nodes[index].stop_requested_at.is_some() { VmState::Leaving } else { VmState::Live },
            })
            .collect();
        for index in 0..MAX_NODES {
            self.schedule(1, ScheduledEvent::NodeEvent(index, None, Event::VmsListed(entries.clone())));
        }
        self.schedule(VM_LIST_INTERVAL_MS, ScheduledEvent::ListVms);
    }

    /// Sends a caller's request to a node and returns its call, or `None` if the node does not run.
    ///
    /// `goal` and `body` are indices into the goals and bodies of the fixtures.
    pub fn send_request(&mut self, index: usize, id: u8, goal: u8, body: u8, deadline_ms: u64) -> Option<CallId> {
        self.nodes[index].core.as_ref()?;
        let call = CallId(self.next_number());
        let key = RequestKey { org: "org".into(), request: RequestId::new(format!("request-{id}")) };
        let goal = fixtures::goal(goal);
        let body: Arc<str> = BODIES[body as usize % BODIES.len()].into();
        let record = Call {
            node: index,
            instance: self.nodes[index].instance,
            key: key.clone(),
            goal: goal.clone(),
            body: body.clone(),
            asked_at: self.now,
            tokens: String::new(),
            next_token: 0,
            answer: None,
            is_disconnected: false,
        };
        self.oracle.calls.insert(call, record);
        let deadline = Duration::from_millis(deadline_ms);
        let request = CallerRequest { call, key, goal, body, deadline, priority: Priority::Normal };
        self.handle_event(index, Event::Asked(Box::new(request)));
        Some(call)
    }

    /// Disconnects the caller of the node's latest open call, if any.
    pub fn disconnect_caller(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        let is_waiting = |call: &Call| call.instance == instance && call.answer.is_none() && !call.is_disconnected;
        let Some((id, call)) = self.oracle.calls.iter_mut().rev().find(|(_, call)| is_waiting(call)) else { return };
        call.is_disconnected = true;
        let id = *id;
        self.handle_event(index, Event::CallerGone(id));
    }

    /// Promotes a document through a node as an operator, unless the node does not run.
    pub fn promote(&mut self, index: usize, content: Document, revision: Revision) {
        if self.nodes[index].core.is_none() {
            return;
        }
        let nonce = Nonce(self.next_number());
        let author: Arc<str> = format!("operator-{}", nonce.0).into();
        let text = format!("of = {author}\nrevision = {}\n", revision.0).into();
        let document = Arc::new(AcceptedDocument { revision, nonce, author, text, content });
        let call = CallId(self.next_number());
        self.oracle.promotions.insert(call, (document.clone(), None));
        self.handle_event(index, Event::PromoteRequested(call, document));
    }

    /// Parses a document for a node, and checks that its text is the one that was promoted.
    fn parse_document(&mut self, index: usize, source: &DocumentSource) {
        let promoted = self.oracle.promotions.values().map(|(document, _)| document);
        let document = promoted.clone().find(|document| document.nonce == source.nonce).cloned();
        let Some(document) = document.filter(|document| document.text == source.text) else {
            return self
                .oracle
                .violations
                .push(format!("{} patched a document to a text that was not promoted", node_name(index)));
        };
        let (delay_ms, instance) = (self.rng.u64(1..300), self.nodes[index].instance);
        self.schedule(delay_ms, ScheduledEvent::NodeEvent(index, Some(instance), Event::DocumentParsed(document)));
    }

    /// Returns the latest revision that the table service has accepted, or 0 before the first.
    pub fn latest_revision(&self) -> Revision {
        self.table.documents.last().map_or(Revision(0), |(_, document)| document.revision)
    }

    /// Sets the mode of the table service; records a disturbance now if the mode until now was a fault.
    pub fn set_table_mode(&mut self, mode: TableMode) {
        if self.table.mode != TableMode::Up {
            self.table_disturbed_at = self.now;
        }
        self.table.mode = mode;
    }
}
