//! A large fleet without a network: boards that exchange heartbeats as their partners tell.

use std::collections::{BTreeMap, BTreeSet};

use wasabipier_core::blackboard::Identity;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::{RelayBoard, RelayTuning};
use wasabipier_core::relay::choice::{CallRequirements, PromptPart, PromptSpec};
use wasabipier_core::relay::fleet::{FleetPartners, MAX_SMALL_FLEET_NODES};
use wasabipier_core::relay::rows::{RowBatch, SharedTable};

use crate::fixtures::{address, at, entry, identity};

/// Pause between two heartbeats of a node, in milliseconds.
const PAUSE: u64 = 400;
const DCS: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];

/// Nodes that can reach each other unless they are down or cut off.
struct Fleet {
    boards: BTreeMap<NodeName, RelayBoard>,
    down: BTreeSet<NodeName>,
    /// Pairs of data centres that do not reach each other.
    cut: Vec<(DcName, DcName)>,
    now: u64,
    calls: usize,
}

impl Fleet {
    /// A fleet of `size` nodes, of which the first two of each data centre are strong. All know the first three.
    fn new(size: usize) -> Self {
        let boards = (0..size).map(|number| {
            let name = format!("edge-{number:03}");
            let identity = Identity {
                dc: DcName::new(DCS[number % DCS.len()]),
                caller_address: address(8000 + number as u16),
                peer_address: address(1000 + number as u16),
                ..identity(&name)
            };
            let capacity = if number < 2 * DCS.len() { 100 } else { 1 };
            let mut board = RelayBoard::new(identity, RelayTuning { capacity, ..RelayTuning::default() });
            board.state = NodeState::Serving;
            (NodeName::new(name), board)
        });
        Self { boards: boards.collect(), down: BTreeSet::new(), cut: Vec::new(), now: 0, calls: 0 }
    }

    fn is_cut(&self, one: &NodeName, other: &NodeName) -> bool {
        let (one, other) = (&self.boards[one].identity.dc, &self.boards[other].identity.dc);
        self.cut.iter().any(|(a, b)| (a, b) == (one, other) || (b, a) == (one, other))
    }

    fn call(&mut self, from: &NodeName, to: &NodeName) {
        self.calls += 1;
        let now = at(self.now);
        if self.down.contains(to) || self.is_cut(from, to) {
            if let Some(board) = self.boards.get_mut(from) {
                board.members.mark_suspected(to, now);
            }
            return;
        }
        let asker = self.boards.get_mut(from).expect("the asker is of this fleet");
        let (news, heartbeat) = (asker.fleet_report_for(to, now), asker.heartbeat(now));
        let peer = self.boards.get_mut(to).expect("the peer is of this fleet");
        peer.handle_heartbeat_reply(heartbeat.clone(), news, now, now);
        let (news, reply) = (peer.fleet_report(from, &heartbeat.dc, now), peer.heartbeat(now));
        self.boards.get_mut(from).expect("as above").handle_heartbeat_reply(reply, news, now, now);
    }

    /// Every node exchanges heartbeats once.
    fn step(&mut self) {
        let names: Vec<NodeName> = self.boards.keys().filter(|name| !self.down.contains(*name)).cloned().collect();
        for name in &names {
            let partners = match self.boards[name].partners(at(self.now)) {
                FleetPartners::Only(partners) if !partners.is_empty() => partners,
                _ => names.iter().take(3).filter(|other| *other != name).cloned().collect(),
            };
            for partner in partners {
                self.call(name, &partner);
            }
        }
        for (name, board) in &mut self.boards {
            if !self.down.contains(name) {
                board.remove_expired(at(self.now));
            }
        }
        self.now += PAUSE;
    }

    /// Two nodes tell each other of work between heartbeats.
    fn exchange_work(&mut self, one: &NodeName, other: &NodeName) {
        let now = at(self.now);
        for (from, to) in [(one, other), (other, one)] {
            let to_dc = self.boards[to].identity.dc.clone();
            let work = self.boards[from].loads_for(to, &to_dc, now);
            self.boards.get_mut(to).expect("the peer is of this fleet").handle_load_report(from, work, now);
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn live(&self) -> impl Iterator<Item = (&NodeName, &RelayBoard)> {
        self.boards.iter().filter(|(name, _)| !self.down.contains(*name))
    }

    fn hubs(&self) -> Vec<NodeName> {
        self.live().filter(|(_, board)| board.is_hub(at(self.now))).map(|(name, _)| name.clone()).collect()
    }
}

/// Pattern: 61 nodes in three data centres; heartbeats of all with all are 3,660 calls a round.
#[test]
fn a_large_fleet_knows_all_its_nodes_by_few_calls() {
    let mut fleet = Fleet::new(61);
    fleet.run(8);

    fleet.calls = 0;
    fleet.run(5);

    let now = at(fleet.now);
    for (name, board) in fleet.live() {
        assert_eq!(board.addresses(now).len(), 61, "{name} knows all nodes");
    }
    assert_eq!(fleet.hubs().len(), DCS.len());
    // One call of each node to its hub, and those between hubs.
    assert!(fleet.calls <= 5 * (61 + 6), "{} calls", fleet.calls);
}

/// Pattern: all hubs lose power at once.
#[test]
fn others_take_over_when_hubs_are_lost() {
    let mut fleet = Fleet::new(61);
    fleet.run(8);
    let lost = fleet.hubs();

    fleet.down.extend(lost.iter().cloned());
    fleet.run(12);

    let now = at(fleet.now);
    assert_eq!(fleet.hubs().len(), DCS.len());
    for (name, board) in fleet.live() {
        assert_eq!(board.addresses(now).len(), 58, "{name} knows who is left, and names no lost node");
    }
}

/// Pattern: two data centres do not reach each other while a third reaches both.
#[test]
fn a_data_centre_that_reaches_both_tells_each_of_the_other() {
    let mut fleet = Fleet::new(30);
    fleet.run(8);

    fleet.cut.push((DcName::new(DCS[0]), DcName::new(DCS[2])));
    fleet.run(20);

    let now = at(fleet.now);
    for (name, board) in fleet.live() {
        assert_eq!(board.addresses(now).len(), 30, "{name} tells callers of all nodes");
    }
}

/// Pattern: nodes of a large fleet call some others at times; a batching node that was called must not seem gone after.
#[test]
fn a_node_that_was_called_once_is_not_missed_when_it_is_not_called_again() {
    let mut fleet = Fleet::new(61);
    fleet.run(8);
    let (asker, peer) = (NodeName::new("edge-030"), NodeName::new("edge-001"));

    fleet.call(&asker, &peer);

    for step in 0..12 {
        fleet.step();
        let now = at(fleet.now);
        let view = fleet.boards[&asker].members.get(&peer).expect("it is known");
        assert!(view.is_reachable(now), "{step} steps after the call it seems gone");
    }
}

/// Pattern: the load of 61 nodes at one target is what each of them adds, counted once.
#[test]
fn loads_are_counted_once_whatever_way_they_come() {
    let mut fleet = Fleet::new(61);
    let target = TargetName::new("engine-1");
    for board in fleet.boards.values_mut() {
        board.upsert_target(entry("engine-1", "coachmodel", DCS[0]), at(0));
        board.targets.start_call(&target, 10, at(0));
    }

    fleet.run(10);

    for (name, board) in fleet.live() {
        let view = board.targets.get(&target).expect("all know the target");
        assert_eq!((view.total_in_flight(), view.others_unread_tokens), (61, 600), "as {name} sees it");
    }
}

/// Pattern: 61 nodes that each hold two calls at the store, which the users pay for.
#[test]
fn hubs_alone_read_the_store_unless_they_fall_behind() {
    let mut fleet = Fleet::new(61);
    fleet.run(8);
    let now = at(fleet.now);
    let batch = RowBatch { rows: Vec::new(), version: 5, whole: true };
    for board in fleet.boards.values_mut() {
        board.copies.entry(SharedTable::Targets).or_default().apply(&batch, now);
    }

    let readers = |fleet: &Fleet, ms| {
        let reads = |board: &RelayBoard| board.reads_store(SharedTable::Targets, at(fleet.now + ms));
        fleet.live().filter(|(_, board)| reads(board)).count()
    };

    assert_eq!(readers(&fleet, 100), DCS.len());
    assert_eq!(readers(&fleet, 1_500), 61, "what no hub confirms is read by each node itself");
}

#[test]
fn every_node_of_a_small_fleet_talks_to_all_and_reads_the_store() {
    let mut fleet = Fleet::new(MAX_SMALL_FLEET_NODES);
    fleet.run(8);
    let now = at(fleet.now);

    assert!(fleet.live().all(|(_, board)| board.partners(now) == FleetPartners::All));
    assert!(fleet.live().all(|(_, board)| board.reads_store(SharedTable::Orders, now)));
}

/// Pattern: a burst of long prompts that nothing ties to an engine; nodes that see the same idle engine all take it.
#[test]
fn long_prompts_of_many_nodes_do_not_pile_up_on_one_engine() {
    const ENGINES: usize = 140;
    /// Prompts that are placed between two exchanges of the hubs.
    const BETWEEN_HUBS: usize = 8;
    let mut fleet = Fleet::new(61);
    fleet.run(8);
    let service = ServiceName::new("coachmodel");
    for board in fleet.boards.values_mut() {
        for engine in 0..ENGINES {
            board.upsert_target(entry(&format!("engine-{engine}"), "coachmodel", DCS[engine % DCS.len()]), at(0));
        }
    }

    let mut placed: BTreeMap<TargetName, usize> = BTreeMap::new();
    let names: Vec<NodeName> = fleet.boards.keys().cloned().collect();
    for (number, name) in names.iter().chain(&names).enumerate() {
        let now = at(fleet.now);
        let hub = match fleet.boards[name].partners(now) {
            FleetPartners::Only(partners) if !fleet.boards[name].is_hub(now) => partners.first().cloned(),
            _ => None,
        };
        if let Some(hub) = &hub {
            fleet.exchange_work(name, hub);
        }
        let prompt = PromptSpec { parts: vec![PromptPart { id: number as u64, tokens: 13_000 }] };
        let inputs = BTreeMap::new();
        let requirements = CallRequirements { service: &service, avoid: &[], prompt: Some(&prompt), inputs: &inputs };
        let board = fleet.boards.get_mut(name).expect("it is of this fleet");
        let target = board.choose(&requirements, now).expect("engines are free").target;
        board.targets.start_call(&target, 13_000, now);
        *placed.entry(target).or_default() += 1;
        if let Some(hub) = &hub {
            fleet.exchange_work(name, hub);
        }
        if number % BETWEEN_HUBS == 0 {
            let hubs = fleet.hubs();
            for (one, other) in [(0, 1), (0, 2), (1, 2)] {
                fleet.exchange_work(&hubs[one], &hubs[other]);
            }
        }
    }

    // 122 prompts before 140 engines: those that other hubs had not told of yet may meet.
    let worst = placed.values().max().copied().unwrap_or_default();
    assert!(worst <= DCS.len(), "{worst} prompts at one engine");
    assert!(placed.len() >= 75, "{} engines used", placed.len());
}
