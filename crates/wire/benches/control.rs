//! Cost of the control plane at one node: CPU time, bytes and memory at several fleet sizes.
//!
//! Drives one node's core through a minute of simulated time, with ticks, heartbeats from the peers that the node would
//! be connected to, and document changes at a fixed rate, each transferred as a difference. Encodes and decodes frames
//! and parses documents as a running node does. The document grows with the fleet, to 10,000 targets and 5,500
//! organisations at 1,500 nodes.

use std::alloc::System;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use wasabipier_core::event::{VmEntry, VmState};
use wasabipier_core::message::{Heartbeat, NodeState};
use wasabipier_core::prelude::*;
use wasabipier_wire::frame::WireFrame;
use wasabipier_wire::row::{parse_accepted_document, reparse_accepted_document};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Fleet sizes that are measured, in nodes.
const FLEET_SIZES: [u32; 4] = [9, 100, 500, 1500];
const MAX_FLEET_SIZE: u32 = 1500;
const DC_COUNT: u32 = 34;
/// Number of targets in the document of the largest fleet.
const MAX_TARGETS: u32 = 10_000;
/// Number of organisations in the document of the largest fleet.
const MAX_ORGS: u32 = 5_500;
/// Interval of document changes, at 67,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(86_400_000 / 67_000);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const SIMULATED_DURATION: Duration = Duration::from_mins(1);
/// Bytes sent in addition to each frame: its length, and the header of an `h2` data frame.
const FRAME_OVERHEAD_BYTES: usize = 4 + 9;

fn main() {
    println!("nodes  links  targets  CPU %   sent B/s  got B/s  msgs/s  reads/s  writes/s  memory MB  parse ms");
    for node_count in FLEET_SIZES {
        let cost = measure(node_count);
        println!("{cost}");
    }
}

/// Simulates a fleet of `nodes` nodes and returns the table row of its costs.
fn measure(node_count: u32) -> String {
    let region = Region::new(ALLOCATOR);
    let mut simulation = Simulation::new(node_count);
    simulation.run(Duration::from_secs(5));
    simulation.counters = CostCounters::default();
    simulation.run(SIMULATED_DURATION);
    let memory = region.change();
    let memory = memory.bytes_allocated as f64 - memory.bytes_deallocated as f64;
    let counters = &simulation.counters;
    let seconds = SIMULATED_DURATION.as_secs_f64();
    format!(
        "{node_count:5}  {:5}  {:7}  {:5.2}  {:9.0}  {:7.0}  {:6.1}  {:7.2}  {:8.2}  {:9.1}  {:8.2}",
        simulation.connected_peers(),
        simulation.core.board().document.content.targets.len(),
        100.0 * counters.busy_time.as_secs_f64() / seconds,
        counters.sent_bytes as f64 / seconds,
        counters.received_bytes as f64 / seconds,
        counters.sent_messages as f64 / seconds,
        counters.reads as f64 / seconds,
        counters.writes as f64 / seconds,
        memory / 1e6,
        1000.0 * counters.parse_time.as_secs_f64() / counters.parsed_documents.max(1) as f64,
    )
}

/// Costs of the node since the counters were reset.
#[derive(Debug, Default)]
struct CostCounters {
    /// Time in which the node decodes, encodes, parses and decides.
    busy_time: Duration,
    /// Part of `busy_time` in which the node parses documents.
    parse_time: Duration,
    parsed_documents: u64,
    /// Bytes sent to peers, including `FRAME_OVERHEAD_BYTES` for each frame.
    sent_bytes: usize,
    /// Bytes received from peers, including `FRAME_OVERHEAD_BYTES` for each frame.
    received_bytes: usize,
    sent_messages: u64,
    /// Number of reads of rows in the table service.
    reads: u64,
    /// Number of writes of rows in the table service.
    writes: u64,
}

/// One node's core, with simulated peers, clock and table service.
struct Simulation {
    /// Number of nodes of the fleet, including the measured one.
    node_count: u32,
    core: NodeCore,
    now: Moment,
    revision: u64,
    current_document: Arc<AcceptedDocument>,
    tick_count: u64,
    next_change_at: Moment,
    counters: CostCounters,
    rows: BTreeMap<RowKey, Row>,
}

fn node_name(node: u32) -> NodeName {
    NodeName::new(format!("entry-{node:04}"))
}

fn dc_name(node: u32) -> DcName {
    DcName::new(format!("dc-{:02}", node % DC_COUNT))
}

fn address(node: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], port))
}

/// Returns the document of a fleet of `nodes` nodes after `change` changes.
fn document_text(node_count: u32, change: u64) -> String {
    let mut text = format!("[environment]\nname = production\nseats = {node_count}\n");
    for number in 0..DC_COUNT {
        let _ = writeln!(text, "[data-centre dc-{number:02}]\nregion = region-{}\nadmission = open", number % 9);
    }
    for number in 0..MAX_ORGS * node_count / MAX_FLEET_SIZE {
        let _ = writeln!(text, "[organisation org-{number:04}]\nweight = 1");
    }
    for number in 0..10 {
        let _ = writeln!(text, "[service model-{number}]\nkind = generate\nstable = v1\nwarm_limit = 8");
    }
    for number in 0..(MAX_TARGETS * node_count / MAX_FLEET_SIZE).max(10) {
        // Each change takes one target out of use or admits it again.
        let admission = if u64::from(number) == change % 10 && change % 2 == 1 { "out" } else { "open" };
        let (service, place, target) = (number % 10, number % DC_COUNT, address(number, 8000 + (number % 7) as u16));
        let _ = write!(text, "[target engine-{number:05}]\nservice = model-{service}\nversion = v1\n");
        let _ = writeln!(text, "data_centre = dc-{place:02}\naddress = {target}\nadmission = {admission}");
    }
    text
}

fn document(node_count: u32, revision: u64) -> Arc<AcceptedDocument> {
    let text = document_text(node_count, revision);
    Arc::new(parse_accepted_document(revision, Nonce(revision), "operator", &text).expect("the document is valid"))
}

impl Simulation {
    fn new(node_count: u32) -> Self {
        let identity = Identity {
            node: node_name(0),
            instance: InstanceId(1),
            dc: dc_name(0),
            caller_address: address(0, 8000),
            peer_address: address(0, 7000),
        };
        let config = NodeConfig { identity, tuning: Tuning::default(), seed: 1, peers: Vec::new() };
        let (core, _) = NodeCore::new(config);
        let current_document = document(node_count, 1);
        let mut simulation = Self {
            node_count,
            core,
            now: Moment(0),
            revision: 1,
            current_document: current_document.clone(),
            tick_count: 0,
            next_change_at: Moment(0) + CHANGE_INTERVAL,
            counters: CostCounters::default(),
            rows: BTreeMap::new(),
        };
        let vm = |node| VmEntry {
            node: node_name(node),
            dc: dc_name(node),
            caller_address: address(node, 8000),
            peer_address: address(node, 7000),
            state: VmState::Live,
        };
        simulation.handle_event(&Event::VmsListed((0..node_count).map(vm).collect()));
        simulation.handle_event(&Event::DocumentParsed(current_document));
        simulation
    }

    fn connected_peers(&self) -> usize {
        self.core.board().members.iter().filter(|(_, member)| member.is_connected).count()
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.tick_count += 1;
            if self.now >= self.next_change_at {
                self.next_change_at = self.now + CHANGE_INTERVAL;
                self.revision += 1;
            }
            self.deliver_due_heartbeats();
            self.handle_event(&Event::Tick);
        }
    }

    /// Delivers the heartbeats of the peers that are due at this tick.
    fn deliver_due_heartbeats(&mut self) {
        const TICKS_PER_HEARTBEAT: u64 = 25;
        let linked = self.core.board().members.iter().filter(|(_, member)| member.is_connected);
        let is_large = self.node_count as usize > self.core.board().tuning.max_full_mesh_peers;
        let mut due = Vec::new();
        for (index, (node, member)) in linked.enumerate() {
            let is_remote = is_large && member.dc.as_ref() != Some(&dc_name(0));
            let interval_ticks = if is_remote { 4 * TICKS_PER_HEARTBEAT } else { TICKS_PER_HEARTBEAT };
            if (self.tick_count + index as u64).is_multiple_of(interval_ticks) {
                due.push(node.clone());
            }
        }
        for node in due {
            let number: u32 = node.as_str().trim_start_matches("entry-").parse().expect("a number");
            let heartbeat = Heartbeat {
                instance: InstanceId(u64::MAX / 3),
                sequence: self.tick_count,
                dc: dc_name(number),
                caller_address: address(number, 8000),
                peer_address: address(number, 7000),
                state: NodeState::Serving,
                revision: Revision(self.revision),
                seats: vec![wasabipier_core::message::SeatEpoch { seat: number, epoch: 1 }],
            };
            self.deliver(&node, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Delivers a message from a peer to the core. Decodes the message from its bytes as a running node does.
    fn deliver(&mut self, from: &NodeName, message: &PeerMessage) {
        let bytes = WireFrame::from(message).encode();
        self.counters.received_bytes += bytes.len() + FRAME_OVERHEAD_BYTES;
        let started = Instant::now();
        let message = WireFrame::decode(&bytes).and_then(PeerMessage::try_from).expect("a message");
        self.counters.busy_time += started.elapsed();
        self.handle_event(&Event::Peer(from.clone(), Box::new(message)));
    }

    fn handle_event(&mut self, event: &Event) {
        let started = Instant::now();
        let actions = self.core.handle(self.now, WallTime(0), event);
        self.counters.busy_time += started.elapsed();
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::SendToPeer(node, message) => self.send(&node, &message),
            Action::Parse(source) => {
                let started = Instant::now();
                let document = reparse_accepted_document(&source);
                self.counters.parse_time += started.elapsed();
                self.counters.busy_time += started.elapsed();
                self.counters.parsed_documents += 1;
                self.current_document = Arc::new(document.expect("the document is valid"));
                self.handle_event(&Event::DocumentParsed(self.current_document.clone()));
                // This node got the document from one peer, and one peer gets it from this node.
                let have = Revision(self.revision - 1);
                self.deliver(&node_name(1), &PeerMessage::DocumentWanted { wanted: Revision(self.revision), have });
            }
            Action::Store(ticket, op) => {
                let reply = self.execute_store_op(*op);
                self.handle_event(&Event::Store(ticket, Box::new(reply)));
            }
            _ => {}
        }
    }

    fn execute_store_op(&mut self, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Read { key } => {
                self.counters.reads += 1;
                StoreReply::Read(self.rows.get(&key).cloned())
            }
            StoreOp::Write { key, value, .. } => {
                self.counters.writes += 1;
                let version = RowVersion(self.counters.writes);
                self.rows.insert(key, Row { version, value });
                StoreReply::Written(version)
            }
        }
    }

    /// Encodes and counts a message to a peer. A peer that is asked for the document replies with the difference.
    fn send(&mut self, node: &NodeName, message: &PeerMessage) {
        let started = Instant::now();
        let bytes = WireFrame::from(message).encode();
        self.counters.busy_time += started.elapsed();
        self.counters.sent_bytes += bytes.len() + FRAME_OVERHEAD_BYTES;
        self.counters.sent_messages += 1;
        if let PeerMessage::DocumentWanted { have, .. } = message {
            let new = document_text(self.node_count, self.revision);
            let change = wasabipier_core::message::DocumentChange {
                base: *have,
                revision: Revision(self.revision),
                nonce: Nonce(self.revision),
                author: Arc::from("operator"),
                delta: wasabipier_core::delta::TextDelta::between(&self.current_document.text, &new),
            };
            self.deliver(node, &PeerMessage::DocumentChanged(Box::new(change)));
        }
    }
}
