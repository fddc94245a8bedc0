//! Leases and orders of several nodes against a table service that is slow, out, or loses answers,
//! with pauses and clocks that run at different rates. Oracle: never two holders at one time, and no
//! order of a holder leaves after one of its successor's.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::controller::Controller;
use wasabipier_core::document::{EngineRole, LoadSpec, TargetSpec};
use wasabipier_core::event::OrderReply;
use wasabipier_core::leases::LeaseController;
use wasabipier_core::message::NodeState;
use wasabipier_core::orders::OrderController;
use wasabipier_core::prelude::*;
use wasabipier_core::store::LeaseKind;

const NODES: usize = 3;
const TICK_MS: u64 = 100;
/// Time for an answer of the table service.
const PATIENCE_MS: u64 = 2000;
/// Clock rates of the nodes in thousandths of true time.
const RATES: [u64; NODES] = [1000, 1030, 970];

/// What may happen in one step of true time.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes for all nodes that are not paused.
    Run { ticks: u8 },
    /// A node is paused for some time, then sees what came meanwhile.
    Pause { node: usize, ticks: u8 },
    /// The table service is out: operations are not sent.
    Outage { on: bool },
    /// Writes take effect, but their answers are lost.
    LoseAnswers { on: bool },
    /// Writes wait at the table service for some time and then take effect.
    Delay { ticks: u8 },
    /// A node is replaced by a new instance.
    Restart { node: usize },
}

struct LeaseNode {
    board: Blackboard,
    leases: LeaseController,
    orders: OrderController,
    paused_until: u64,
    inbox: Vec<Event>,
}

struct Delayed {
    due: u64,
    node: usize,
    instance: InstanceId,
    ticket: StoreTicket,
    op: StoreOp,
}

struct World {
    time: u64,
    nodes: Vec<LeaseNode>,
    row: Option<Row>,
    version: u64,
    outage: bool,
    lose: bool,
    delay: u64,
    delayed: Vec<Delayed>,
    highest_order: u64,
    orders: u64,
    instances: u64,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn load(model: &str) -> LoadSpec {
    LoadSpec {
        model: ModelName::new(model),
        adapters: Vec::new(),
        version: VersionName::new("v1"),
        role: EngineRole::Both,
    }
}

fn document() -> AcceptedDocument {
    let target = TargetSpec {
        service: ServiceName::new("coachmodel"),
        version: VersionName::new("v1"),
        dc: DcName::new("a"),
        address: address(),
        load: Some(load("wanted")),
        ..TargetSpec::default()
    };
    let mut content = Document { loads_per_minute: 60, ..Document::default() };
    content.targets.insert(TargetName::new("engine"), target);
    AcceptedDocument { revision: Revision(1), content, ..AcceptedDocument::default() }
}

fn node(number: usize, instance: u64) -> LeaseNode {
    let identity = Identity {
        node: NodeName::new(format!("n{number}")),
        instance: InstanceId(instance),
        dc: DcName::new("a"),
        caller_address: address(),
        peer_address: address(),
    };
    let mut board = Blackboard::new(identity, Tuning::default(), instance);
    board.state = NodeState::Serving;
    board.document = std::sync::Arc::new(document());
    LeaseNode {
        board,
        leases: LeaseController::default(),
        orders: OrderController::default(),
        paused_until: 0,
        inbox: Vec::new(),
    }
}

impl World {
    fn new() -> Self {
        Self {
            time: 0,
            nodes: (0..NODES).map(|number| node(number, number as u64 + 1)).collect(),
            row: None,
            version: 0,
            outage: false,
            lose: false,
            delay: 0,
            delayed: Vec::new(),
            highest_order: 0,
            orders: 0,
            instances: NODES as u64,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Run { ticks } => (0..ticks).for_each(|_| self.tick()),
            Step::Pause { node, ticks } => self.nodes[node].paused_until = self.time + u64::from(ticks) * TICK_MS,
            Step::Outage { on } => self.outage = on,
            Step::LoseAnswers { on } => self.lose = on,
            Step::Delay { ticks } => self.delay = u64::from(ticks) * TICK_MS,
            Step::Restart { node: number } => {
                self.instances += 1;
                self.nodes[number] = node(number, self.instances);
            }
        }
    }

    fn tick(&mut self) {
        self.time += TICK_MS;
        let due = std::mem::take(&mut self.delayed);
        let (now, later) = due.into_iter().partition(|delayed| delayed.due <= self.time);
        self.delayed = later;
        for delayed in now {
            self.store(delayed.node, delayed.instance, delayed.ticket, &delayed.op);
        }
        for number in 0..NODES {
            if self.nodes[number].paused_until <= self.time {
                self.turn(number);
            }
        }
        self.check();
    }

    /// One turn of a node: what came since its last turn, then a tick.
    fn turn(&mut self, number: usize) {
        let mut events = std::mem::take(&mut self.nodes[number].inbox);
        events.push(Event::Tick);
        for event in events {
            let node = &mut self.nodes[number];
            node.board.now = Moment(self.time * RATES[number] / 1000);
            let mut out = Vec::new();
            if let Event::Store(ticket, reply) = &event {
                let now = node.board.now;
                node.board.store.learn(reply, now, 0.5);
                if let Some(purpose) = node.board.store.close(*ticket) {
                    node.leases.on_store(&mut node.board, &purpose, reply, &mut out);
                }
            }
            node.leases.on_event(&mut node.board, &event, &mut out);
            node.orders.on_event(&mut node.board, &event, &mut out);
            for action in out {
                self.act(number, action);
            }
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        let instance = self.nodes[number].board.identity.instance;
        match action {
            Action::Store(ticket, op) => {
                if self.outage {
                    self.nodes[number].inbox.push(Event::Store(ticket, Box::new(StoreReply::NotSent)));
                } else if self.delay > PATIENCE_MS {
                    // Its node gives up waiting long before the write takes effect.
                    let due = self.time + self.delay;
                    self.delayed.push(Delayed { due, node: NODES, instance, ticket, op: *op });
                    self.nodes[number].inbox.push(Event::Store(ticket, Box::new(StoreReply::Lost)));
                } else if self.delay > 0 {
                    let due = self.time + self.delay;
                    self.delayed.push(Delayed { due, node: number, instance, ticket, op: *op });
                } else {
                    self.store(number, instance, ticket, &op);
                }
            }
            Action::Inspect(target, _) => {
                // It never has what is wanted, so that there is always something to order.
                let answer = Event::Inspected(target, Some(load("other")));
                self.nodes[number].inbox.push(answer);
            }
            Action::Order(order) => {
                assert!(order.fencing >= self.highest_order, "an order of an old holder left after its successor's");
                self.highest_order = order.fencing;
                self.orders += 1;
                self.nodes[number].inbox.push(Event::OrderAnswered(order.target, OrderReply::Accepted));
            }
            _ => {}
        }
    }

    fn store(&mut self, number: usize, instance: InstanceId, ticket: StoreTicket, op: &StoreOp) {
        let is_orders = |key: &RowKey| *key == RowKey::Lease(LeaseKind::Orders);
        let reply = match op {
            StoreOp::Read { key } => StoreReply::Read(self.row.clone().filter(|_| is_orders(key))),
            StoreOp::Write { key, .. } if !is_orders(key) => StoreReply::Conflict(None),
            StoreOp::Write { expected, value, .. } => {
                if self.row.as_ref().map(|row| row.version) == *expected {
                    self.version += 1;
                    self.row = Some(Row { version: RowVersion(self.version), value: value.clone() });
                    StoreReply::Written(RowVersion(self.version))
                } else {
                    StoreReply::Conflict(self.row.clone())
                }
            }
        };
        let reply = if self.lose { StoreReply::Lost } else { reply };
        // A node that gave up waiting or was replaced gets no answer.
        let waits = self.nodes.get_mut(number).filter(|node| node.board.identity.instance == instance);
        if let Some(node) = waits {
            node.inbox.push(Event::Store(ticket, Box::new(reply)));
        }
    }

    /// Nodes that would act at this very moment of true time, paused ones after waking included.
    fn check(&self) {
        let holds = |(number, node): (usize, &LeaseNode)| {
            let now = Moment(self.time * RATES[number] / 1000);
            node.board.leases.holds(LeaseKind::Orders, now)
        };
        let holders = self.nodes.iter().enumerate().filter(|(number, node)| holds((*number, node))).count();
        assert!(holders <= 1, "{holders} nodes hold the lease at {} ms", self.time);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1_u8..80).prop_map(|ticks| Step::Run { ticks }),
        2 => (0..NODES, 1_u8..250).prop_map(|(node, ticks)| Step::Pause { node, ticks }),
        1 => any::<bool>().prop_map(|on| Step::Outage { on }),
        1 => any::<bool>().prop_map(|on| Step::LoseAnswers { on }),
        1 => prop_oneof![Just(0_u8), 1_u8..120].prop_map(|ticks| Step::Delay { ticks }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_two_holders(steps in prop::collection::vec(step(), 1..60)) {
        // Arrange
        let mut world = World::new();

        // Act and assert: the world checks after each tick
        for step in steps {
            world.apply(step);
        }

        // Assert: once all is well again, somebody orders
        for step in [Step::Outage { on: false }, Step::LoseAnswers { on: false }, Step::Delay { ticks: 0 }] {
            world.apply(step);
        }
        let before = world.orders;
        for _ in 0..4 {
            world.apply(Step::Run { ticks: 200 });
        }
        prop_assert!(world.orders > before, "nobody orders any more");
    }
}

#[test]
fn a_lost_write_is_counted_from_when_it_was_sent() {
    // Arrange: the first write takes effect, its answer is lost
    let mut world = World::new();
    world.apply(Step::LoseAnswers { on: true });
    world.apply(Step::Run { ticks: 2 });
    world.apply(Step::LoseAnswers { on: false });

    // Act: the holder reads its row back later
    world.apply(Step::Run { ticks: 40 });

    // Assert
    let length = Tuning::default().lease_length;
    let held = world.nodes.iter().find_map(|node| node.board.leases.held(LeaseKind::Orders, node.board.now));
    assert!(held.is_none_or(|held| held.until < Moment(world.time) + length + Duration::from_millis(1)));
}
