//! A simulated world: nodes with clocks, a lossy network, a VM list that lags, callers and operators.

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
use crate::targets::{Quirk, SimTarget};

/// Nodes at most.
pub const NODES: usize = 5;
const TICK: u64 = 100;
const LIST_EVERY: u64 = 1_000;
const LIST_LAG: u64 = 3_000;

/// What will happen.
#[derive(Clone, Debug)]
pub enum Happening {
    Tick(usize, InstanceId),
    Event(usize, Option<InstanceId>, Event),
    Apply(StoreOp, Option<(usize, InstanceId, StoreTicket, u64)>),
    Result(TargetName, u64, AttemptEvent),
    Drop(TargetName, u64),
    Crash(TargetName),
    Order(usize, InstanceId, Box<LoadOrder>, OrderReply),
    Start(usize),
    List,
}

/// One node's process and its clock.
#[derive(Debug)]
pub struct SimNode {
    pub core: Option<NodeCore>,
    pub instance: InstanceId,
    changed: u64,
    stop_asked: Option<u64>,
    pub paused_until: u64,
    pub backlog: Vec<Event>,
    pub disturbed: u64,
    revision: Revision,
    /// Content known to be harmful, and since when.
    pub harmful: BTreeMap<Fingerprint, u64>,
}

/// All of it.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<SimNode>,
    pub table: Table,
    pub oracle: Oracle,
    pub targets: BTreeMap<TargetName, SimTarget>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub delay: u64,
    pub quirk_percent: u32,
    /// What goes wrong with each run, instead of by chance.
    pub quirk: Option<Quirk>,
    /// How long each run takes, instead of by chance.
    pub took: Option<u64>,
    pub random: fastrand::Rng,
    agenda: BTreeMap<(u64, u64), Happening>,
    pub counter: u64,
    table_trouble: u64,
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

fn dc(index: usize) -> DcName {
    DcName::new(["east", "west"][index % 2])
}

fn address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + index as u16).into()
}

impl World {
    /// A world in which `nodes` nodes serve the first document.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let vacant = || SimNode {
            core: None,
            instance: InstanceId(0),
            changed: 0,
            stop_asked: None,
            paused_until: 0,
            backlog: Vec::new(),
            disturbed: 0,
            revision: Revision(0),
            harmful: BTreeMap::new(),
        };
        let targets = TARGETS.iter().zip(1..).map(|((name, ..), instance)| {
            let target = SimTarget::new(instance);
            (TargetName::new(name), target)
        });
        let mut world = Self {
            now: 100_000,
            nodes: (0..NODES).map(|_| vacant()).collect(),
            table: Table::default(),
            oracle: Oracle::default(),
            targets: targets.collect(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            delay: 0,
            quirk_percent: 0,
            quirk: None,
            took: None,
            random: fastrand::Rng::with_seed(seed),
            agenda: BTreeMap::new(),
            counter: 100,
            table_trouble: 0,
        };
        (0..nodes).for_each(|index| world.start(index));
        world.plan(0, Happening::List);
        world.promote(0, fixtures::document(&[], None), Revision(1));
        world.run(3_000);
        world
    }

    pub fn next(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    pub fn plan(&mut self, after: u64, happening: Happening) {
        let order = self.next();
        self.agenda.insert((self.now + after, order), happening);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = self.now.max(entry.key().0);
            let happening = entry.remove();
            self.happen(happening);
        }
        self.now = until;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(index, instance) => self.tick(index, instance),
            Happening::Event(index, instance, event) => {
                if instance.is_none_or(|instance| self.nodes[index].instance == instance) {
                    self.handle(index, event);
                }
            }
            Happening::Apply(op, reply_to) => {
                let reply = self.table.apply(&op, self.now);
                if let Some((index, instance, ticket, after)) = reply_to {
                    self.plan(after, Happening::Event(index, Some(instance), Event::Store(ticket, Box::new(reply))));
                }
            }
            Happening::Result(target, run, event) => self.deliver(&target, run, event),
            Happening::Drop(target, run) => {
                self.targets.get_mut(&target).map(|target| target.runs.remove(&run));
            }
            Happening::Crash(target) => self.crash_target(&target, 500),
            Happening::Order(index, instance, order, reply) => self.ordered(index, instance, &order, reply),
            Happening::Start(index) => self.start(index),
            Happening::List => self.list(),
        }
    }

    /// Starts a node's process anew.
    pub fn start(&mut self, index: usize) {
        if self.nodes[index].core.is_some() {
            return;
        }
        let instance = InstanceId(self.random.u64(1..));
        let identity = Identity {
            node: name(index),
            instance,
            dc: dc(index),
            caller_address: address(index),
            peer_address: address(index + 100),
        };
        let peers = (0..2).map(|peer| PeerSpec { node: name(peer), address: address(peer + 100) }).collect();
        let config = NodeConfig { identity, tuning: Tuning::default(), seed: instance.0, peers };
        let (core, _) = NodeCore::new(config);
        let now = self.now;
        let node = &mut self.nodes[index];
        *node = SimNode {
            core: Some(core),
            instance,
            changed: now,
            stop_asked: None,
            paused_until: 0,
            backlog: Vec::new(),
            disturbed: now,
            revision: Revision(0),
            harmful: BTreeMap::new(),
        };
        self.plan(1, Happening::Tick(index, instance));
    }

    /// Ends a node's process; it starts again after `vacancy`, if there is one.
    pub fn crash(&mut self, index: usize, vacancy: Option<u64>) {
        self.nodes[index].core = None;
        self.nodes[index].changed = self.now;
        if let Some(vacancy) = vacancy {
            self.plan(vacancy, Happening::Start(index));
        }
    }

    /// Gives a node no events for a while.
    pub fn pause(&mut self, index: usize, span: u64) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Asks a node to stop gracefully.
    pub fn stop(&mut self, index: usize) {
        let serving = self.nodes[index].core.as_ref().is_some_and(|core| core.board().state == NodeState::Serving);
        if serving {
            self.nodes[index].stop_asked = Some(self.now);
            self.handle(index, Event::StopAsked);
        }
    }

    fn tick(&mut self, index: usize, instance: InstanceId) {
        if self.nodes[index].instance != instance || self.nodes[index].core.is_none() {
            return;
        }
        let cut = self.cuts.iter().any(|(from, to)| *from == index || *to == index);
        let table_trouble = self.table.mode != TableMode::Up;
        if table_trouble {
            self.table_trouble = self.now;
        }
        if cut || table_trouble || self.loss_percent > 0 || self.delay > 0 || self.nodes[index].paused_until > self.now
        {
            self.nodes[index].disturbed = self.now;
        }
        self.handle(index, Event::Tick);
        self.plan(TICK, Happening::Tick(index, instance));
    }

    fn handle(&mut self, index: usize, event: Event) {
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
        let mut stopped = false;
        for event in events {
            let local = self.local(index);
            let Some(core) = &mut self.nodes[index].core else { return };
            let actions = core.handle(local, WallTime(self.now), &event);
            self.observe(index);
            // What callers sent before a stop is still read.
            let (stops, others): (Vec<_>, Vec<_>) =
                actions.into_iter().partition(|action| matches!(action, Action::Stopped));
            for action in others {
                self.perform(index, action);
            }
            stopped |= !stops.is_empty();
        }
        if stopped {
            self.stopped(index);
        }
    }

    /// The clock of a node: clocks start anywhere, and run up to one percent fast or slow.
    pub fn local(&self, index: usize) -> Moment {
        let rate = 990 + 5 * index as u64;
        Moment(self.now * rate / 1_000 + 50_000 * index as u64)
    }

    fn observe(&mut self, index: usize) {
        self.check_leases(index);
        self.check_seats(index);
        let node = &mut self.nodes[index];
        let Some(core) = &node.core else { return };
        for (target, view) in core.board().targets.iter() {
            self.oracle.believed(target, view.limit_at(&core.board().tuning, core.board().now), self.now);
        }
        for content in (0..4).map(|goal| fixtures::crashing(&fixtures::goal(goal))) {
            if core.board().harmful.count_crashed_targets(content) >= 2 {
                node.harmful.entry(content).or_insert(self.now);
            }
        }
        let revision = core.board().document.revision;
        if revision < node.revision {
            self.oracle.violations.push(format!("{} went back to revision {}", name(index), revision.0));
        }
        node.revision = revision;
    }

    fn perform(&mut self, index: usize, action: Action) {
        let instance = self.nodes[index].instance;
        match action {
            Action::Send(order) => self.send(index, &order),
            Action::Cancel(attempt) => self.cancel(index, attempt),
            Action::Answer(call, part) => self.answer(call, part),
            Action::SendToPeer(to, message) => self.tell(index, &to, &message),
            Action::Store(ticket, op) => self.operate(index, ticket, *op),
            Action::Order(order) => self.order(index, &order),
            Action::Inspect(target, _) => self.inspect(index, &target),
            Action::Parse(source) => self.parse(index, &source),
            Action::Charge(line) => self.oracle.charged(instance, &line, self.now),
            Action::Promoted(call, answer) => self.oracle.promoted(call, answer),
            _ => {}
        }
    }

    fn answer(&mut self, id: CallId, part: AnswerPart) {
        let Some(call) = self.oracle.calls.get(&id) else { return };
        let claim = self.table.row(&RowKey::Claim(call.key.clone())).is_some();
        if self.table.mode != TableMode::Up {
            self.table_trouble = self.now;
        }
        let trouble = self.table_trouble > call.asked;
        let stop_asked = self.nodes[call.node].stop_asked;
        if let AnswerPart::Final(answer) = &part
            && answer.refusal == Some(RefusalKind::NotReady)
            && stop_asked.is_some_and(|stop| self.now < stop + 3_000)
            && self.nodes[call.node].disturbed + 3_000 < self.now
        {
            self.oracle.violations.push(format!("{}: refused while addresses are kept", call.key));
        }
        self.oracle.answered(id, part, self.now, claim || trouble);
    }

    fn stopped(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        let open = self
            .oracle
            .calls
            .values()
            .any(|call| call.instance == instance && call.node == index && call.answer.is_none() && !call.gone);
        if open {
            self.oracle.violations.push(format!("{} stopped with an open call", name(index)));
        }
        self.crash(index, Some(5_000));
    }

    fn tell(&mut self, from: usize, to: &NodeName, message: &PeerMessage) {
        let Some(index) = (0..NODES).find(|index| name(*index) == *to) else { return };
        if self.cuts.contains(&(from, index)) {
            return;
        }
        let copies =
            if self.loss_percent == 0 { 1 } else { 1 + u32::from(self.random.u32(0..100) < self.loss_percent) };
        for _ in 0..copies {
            if self.random.u32(0..100) >= self.loss_percent {
                let after = 1 + self.random.u64(0..=self.delay);
                let event = Event::Peer(name(from), Box::new(message.clone()));
                self.plan(after, Happening::Event(index, None, event));
            }
        }
    }

    fn operate(&mut self, index: usize, ticket: StoreTicket, op: StoreOp) {
        let course = self.table.course(&mut self.random);
        let instance = self.nodes[index].instance;
        let answer =
            course.answer.zip(course.effect).map(|(answer, effect)| (index, instance, ticket, answer - effect));
        if let Some(effect) = course.effect {
            self.plan(effect, Happening::Apply(op, answer));
        }
        if answer.is_none() {
            let reply = if self.table.mode == TableMode::Refusing { StoreReply::NotSent } else { StoreReply::Lost };
            let event = Event::Store(ticket, Box::new(reply));
            self.plan(course.gives_up, Happening::Event(index, Some(instance), event));
        }
    }

    /// A target reports its load to a node.
    pub fn report(&mut self, target: usize, index: usize) {
        let target = TargetName::new(TARGETS[target % TARGETS.len()].0);
        let report = self.targets[&target].report();
        let after = self.random.u64(0..1_500);
        self.plan(
            after,
            Happening::Event(index, None, Event::Reported(target, LoadReport { age_ms: after as u32, ..report })),
        );
    }

    fn list(&mut self) {
        let listed = |node: &SimNode| node.core.is_some() == (self.now - node.changed.min(self.now) > LIST_LAG);
        let entries: Vec<VmEntry> = (0..NODES)
            .filter(|index| self.nodes[*index].changed > 0 && listed(&self.nodes[*index]))
            .map(|index| VmEntry {
                node: name(index),
                dc: dc(index),
                caller_address: address(index),
                peer_address: address(index + 100),
                state: if self.nodes[index].stop_asked.is_some() { VmState::Leaving } else { VmState::Live },
            })
            .collect();
        for index in 0..NODES {
            self.plan(1, Happening::Event(index, None, Event::VmsListed(entries.clone())));
        }
        self.plan(LIST_EVERY, Happening::List);
    }

    /// A caller asks.
    pub fn ask(&mut self, index: usize, id: u8, goal: u8, body: u8, deadline: u64) -> Option<CallId> {
        self.nodes[index].core.as_ref()?;
        let call = CallId(self.next());
        let key = RequestKey { org: "org".into(), request: RequestId::new(format!("request-{id}")) };
        let goal = fixtures::goal(goal);
        let body: Arc<str> = BODIES[body as usize % BODIES.len()].into();
        let record = Call {
            node: index,
            instance: self.nodes[index].instance,
            key: key.clone(),
            goal: goal.clone(),
            body: body.clone(),
            asked: self.now,
            tokens: String::new(),
            next_token: 0,
            answer: None,
            gone: false,
        };
        self.oracle.calls.insert(call, record);
        let deadline = Duration::from_millis(deadline);
        let ask = CallerRequest { call, key, goal, body, deadline, priority: Priority::Normal };
        self.handle(index, Event::Asked(Box::new(ask)));
        Some(call)
    }

    /// The last caller of a node that still waits hangs up.
    pub fn hang_up(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        let waits = |call: &Call| call.instance == instance && call.answer.is_none() && !call.gone;
        let Some((id, call)) = self.oracle.calls.iter_mut().rev().find(|(_, call)| waits(call)) else { return };
        call.gone = true;
        let id = *id;
        self.handle(index, Event::CallerGone(id));
    }

    /// An operator promotes a document through a node.
    pub fn promote(&mut self, index: usize, content: Document, revision: Revision) {
        if self.nodes[index].core.is_none() {
            return;
        }
        let nonce = Nonce(self.next());
        let author: Arc<str> = format!("operator-{}", nonce.0).into();
        let text = format!("of = {author}\nrevision = {}\n", revision.0).into();
        let document = Arc::new(AcceptedDocument { revision, nonce, author, text, content });
        let call = CallId(self.next());
        self.oracle.promotions.insert(call, (document.clone(), None));
        self.handle(index, Event::PromoteAsked(call, document));
    }

    fn parse(&mut self, index: usize, source: &DocumentSource) {
        let promoted = self.oracle.promotions.values().map(|(document, _)| document);
        let document = promoted.clone().find(|document| document.nonce == source.nonce).cloned();
        let Some(document) = document.filter(|document| document.text == source.text) else {
            return self.oracle.violations.push(format!("{} patched a document wrongly", name(index)));
        };
        let (after, instance) = (self.random.u64(1..300), self.nodes[index].instance);
        self.plan(after, Happening::Event(index, Some(instance), Event::DocumentParsed(document)));
    }

    /// Revision that operators see.
    pub fn revision(&self) -> Revision {
        self.table.documents.last().map_or(Revision(0), |(_, document)| document.revision)
    }

    /// Changes how the table service behaves.
    pub fn set_table(&mut self, mode: TableMode) {
        if self.table.mode != TableMode::Up {
            self.table_trouble = self.now;
        }
        self.table.mode = mode;
    }
}
