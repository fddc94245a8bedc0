//! Simulated nodes that exchange heartbeats with the partners that they choose, without network.

use std::collections::{BTreeMap, BTreeSet};

use wasabipier_core::blackboard::Identity;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, InstanceId, NodeName};
use wasabipier_core::relay::board::{RelayBoard, RelayTuning};
use wasabipier_core::relay::fleet::{FleetCaller, FleetPartners};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat};

use crate::fixtures::{address, at, identity};

/// Interval between two heartbeats of a node in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
pub const DCS: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];

/// Simulates nodes that can reach each other unless one is down or their data centres are partitioned.
pub struct FleetSimulation {
    /// State of each node.
    pub boards: BTreeMap<NodeName, RelayBoard>,
    /// Nodes that have lost power.
    pub down: BTreeSet<NodeName>,
    /// Pairs of data centres that cannot reach each other.
    pub partitions: Vec<(DcName, DcName)>,
    /// Virtual time since the start of the test.
    pub now_ms: u64,
    /// Number of heartbeat exchanges that nodes attempted, with or without success.
    pub call_count: usize,
    /// Nodes that read calls of the base version only.
    pub old_nodes: BTreeSet<NodeName>,
    /// Number of heartbeats of other nodes that reports held.
    pub told_count: usize,
}

impl FleetSimulation {
    /// Creates a fleet of `size` nodes, of which the first two in each data centre are strong.
    pub fn new(size: usize) -> Self {
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
        Self {
            boards: boards.collect(),
            down: BTreeSet::new(),
            partitions: Vec::new(),
            now_ms: 0,
            call_count: 0,
            old_nodes: BTreeSet::new(),
            told_count: 0,
        }
    }

    pub fn is_partitioned(&self, one: &NodeName, other: &NodeName) -> bool {
        let (one, other) = (&self.boards[one].identity.dc, &self.boards[other].identity.dc);
        self.partitions.iter().any(|(a, b)| (a, b) == (one, other) || (b, a) == (one, other))
    }

    /// Lets one node send its heartbeat to another and get the other's heartbeat in reply. If there is no connection,
    /// the sender suspects the other node.
    pub fn exchange_heartbeats(&mut self, from: &NodeName, to: &NodeName) {
        self.call_count += 1;
        let now = at(self.now_ms);
        if self.down.contains(to) || self.is_partitioned(from, to) {
            if let Some(board) = self.boards.get_mut(from) {
                board.members.mark_suspected(to, now);
            }
            return;
        }
        let sender = self.boards.get_mut(from).expect("the sender is in the fleet");
        let to_dc = sender.members.get(to).map(|view| view.heartbeat.dc.clone());
        let (report, known) = (sender.fleet_report_for(to, now), sender.rosters.known());
        let heartbeat = match &to_dc {
            Some(dc) => sender.next_heartbeat_to(to, dc, now),
            None => sender.next_heartbeat(now),
        };
        let heartbeat = self.as_sent(heartbeat);
        let caller = FleetCaller {
            node: from.clone(),
            instance: heartbeat.instance,
            dc: heartbeat.dc.clone(),
            call_version: heartbeat.call_version,
            known: if heartbeat.call_version < CallVersion::ROSTERS { Vec::new() } else { known },
        };
        let is_old_replier = self.old_nodes.contains(to);
        let peer = self.boards.get_mut(to).expect("the peer is in the fleet");
        peer.handle_heartbeat_reply(heartbeat.clone(), report, now, now);
        peer.suspects.merge_reports(&heartbeat.suspects, now);
        let report =
            if is_old_replier { peer.fleet_report(from, &heartbeat.dc, now) } else { peer.report_to(&caller, now) };
        let reply = peer.next_heartbeat_to(from, &heartbeat.dc, now);
        self.told_count +=
            report.members.len() + report.rosters.iter().map(|roster| roster.changed.len()).sum::<usize>();
        let reply = self.as_sent(reply);
        let sender = self.boards.get_mut(from).expect("the sender is in the fleet");
        sender.suspects.merge_reports(&reply.suspects, now);
        sender.handle_heartbeat_reply(reply, report, now, now);
    }

    /// Has all nodes read calls of the base version only, but each one of `part`.
    pub fn set_old_nodes(&mut self, part: usize) {
        let numbered = self.boards.keys().enumerate();
        self.old_nodes = numbered.filter(|(number, _)| number % part != 0).map(|(_, name)| name.clone()).collect();
    }

    /// Returns a heartbeat with the version of calls that its node reads.
    pub fn as_sent(&self, heartbeat: RelayHeartbeat) -> RelayHeartbeat {
        let is_old = self.old_nodes.contains(&heartbeat.node);
        let call_version = if is_old { CallVersion::BASE } else { heartbeat.call_version };
        RelayHeartbeat { call_version, ..heartbeat }
    }

    /// Lets every live node exchange heartbeats with its partners once. Nodes without listed partners contact the first
    /// three live nodes. Then advances the time by one heartbeat interval.
    pub fn run_round(&mut self) {
        let names: Vec<NodeName> = self.boards.keys().filter(|name| !self.down.contains(*name)).cloned().collect();
        for name in &names {
            let partners = match self.boards[name].partners(at(self.now_ms)) {
                FleetPartners::Only(partners) if !partners.is_empty() => partners,
                _ => names.iter().take(3).filter(|other| *other != name).cloned().collect(),
            };
            for partner in partners {
                self.exchange_heartbeats(name, &partner);
            }
        }
        for (name, board) in &mut self.boards {
            if !self.down.contains(name) {
                board.remove_expired(at(self.now_ms));
            }
        }
        self.now_ms += HEARTBEAT_INTERVAL_MS;
    }

    /// Lets two nodes report their loads to each other, as they do between heartbeats.
    pub fn exchange_loads(&mut self, one: &NodeName, other: &NodeName) {
        let now = at(self.now_ms);
        for (from, to) in [(one, other), (other, one)] {
            let to_dc = self.boards[to].identity.dc.clone();
            let loads = self.boards[from].loads_for(to, &to_dc, now);
            self.boards.get_mut(to).expect("the peer is in the fleet").handle_load_report(from, loads, now);
        }
    }

    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.run_round();
        }
    }

    /// Returns the boards of the nodes that are not down.
    pub fn live_boards(&self) -> impl Iterator<Item = (&NodeName, &RelayBoard)> {
        self.boards.iter().filter(|(name, _)| !self.down.contains(*name))
    }

    /// Returns the live nodes that consider themselves hubs.
    pub fn hubs(&self) -> Vec<NodeName> {
        self.live_boards().filter(|(_, board)| board.is_hub(at(self.now_ms))).map(|(name, _)| name.clone()).collect()
    }
}

impl FleetSimulation {
    /// Has a node start again as a new run of its process, which knows nobody.
    pub fn restart(&mut self, name: &NodeName, instance: u64) {
        let old = &self.boards[name];
        let identity = Identity { instance: InstanceId(instance), ..old.identity.clone() };
        let mut board = RelayBoard::new(identity, old.tuning.clone());
        board.state = NodeState::Serving;
        self.boards.insert(name.clone(), board);
        self.down.remove(name);
    }

    /// Has nodes or a whole data centre lose power, nodes that are down come back, or two data centres be partitioned.
    pub fn draw_fault(&mut self, random: &mut fastrand::Rng) {
        let names: Vec<NodeName> = self.boards.keys().cloned().collect();
        match random.u8(..8) {
            0 => {
                let dc = DcName::new(DCS[random.usize(..DCS.len())]);
                self.down.extend(names.iter().filter(|name| self.boards[*name].identity.dc == dc).cloned());
            }
            1 => self.partitions = vec![(DcName::new(DCS[0]), DcName::new(DCS[random.usize(1..DCS.len())]))],
            2 => self.partitions.clear(),
            3 => self.down.extend(self.hubs()),
            4 | 5 => self.down.extend(random.choose_multiple(names, 5)),
            _ => {
                let down: Vec<NodeName> = self.down.iter().cloned().collect();
                for name in random.choose_multiple(down, 20) {
                    self.restart(&name, random.u64(..));
                }
            }
        }
    }
}
