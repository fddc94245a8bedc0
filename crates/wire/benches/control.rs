//! What control costs one node: processor time, bytes and memory at several sizes of the fleet.
//!
//! One node's core is driven through a minute of its own time: heartbeats from the peers that it would
//! be connected to, ticks, and changes of the document at the stated rate, each passed on as a
//! difference. Frames are encoded and decoded, documents parsed, as in a running node. Sizes of the
//! document grow with the fleet: 10,000 targets and 5,500 organisations at 1,500 nodes.

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
use wasabipier_wire::row::{accepted, accepted_on_base};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SIZES: [u32; 4] = [9, 100, 500, 1500];
const LARGEST: u32 = 1500;
const DCS: u32 = 34;
const TARGETS: u32 = 10_000;
const ORGS: u32 = 5_500;
/// 67,000 changes a day.
const CHANGE_EVERY: Duration = Duration::from_millis(86_400_000 / 67_000);
const TICK: Duration = Duration::from_millis(20);
const SIMULATED: Duration = Duration::from_mins(1);
/// Bytes around each frame: its length, and the header of an `h2` data frame.
const FRAME_HEAD_BYTES: usize = 4 + 9;

fn main() {
    println!("nodes  links  targets  CPU %   sent B/s  got B/s  msgs/s  reads/s  writes/s  memory MB  parse ms");
    for nodes in SIZES {
        let cost = measure(nodes);
        println!("{cost}");
    }
}

fn measure(nodes: u32) -> String {
    let region = Region::new(ALLOCATOR);
    let mut fleet = Fleet::new(nodes);
    fleet.run(Duration::from_secs(5));
    fleet.meter = Meter::default();
    fleet.run(SIMULATED);
    let memory = region.change();
    let memory = memory.bytes_allocated as f64 - memory.bytes_deallocated as f64;
    let meter = &fleet.meter;
    let seconds = SIMULATED.as_secs_f64();
    format!(
        "{nodes:5}  {:5}  {:7}  {:5.2}  {:9.0}  {:7.0}  {:6.1}  {:7.2}  {:8.2}  {:9.1}  {:8.2}",
        fleet.links(),
        fleet.core.board().document.content.targets.len(),
        100.0 * meter.busy.as_secs_f64() / seconds,
        meter.sent_bytes as f64 / seconds,
        meter.got_bytes as f64 / seconds,
        meter.messages as f64 / seconds,
        meter.reads as f64 / seconds,
        meter.writes as f64 / seconds,
        memory / 1e6,
        1000.0 * meter.parsing.as_secs_f64() / meter.parsed.max(1) as f64,
    )
}

/// What was counted.
#[derive(Debug, Default)]
struct Meter {
    busy: Duration,
    parsing: Duration,
    parsed: u64,
    sent_bytes: usize,
    got_bytes: usize,
    messages: u64,
    reads: u64,
    writes: u64,
}

/// One node's core, and what its peers would send it.
struct Fleet {
    nodes: u32,
    core: NodeCore,
    now: Moment,
    revision: u64,
    previous: Arc<AcceptedDocument>,
    sequence: u64,
    change_at: Moment,
    meter: Meter,
    rows: BTreeMap<RowKey, Row>,
}

fn name(node: u32) -> NodeName {
    NodeName::new(format!("entry-{node:04}"))
}

fn dc(node: u32) -> DcName {
    DcName::new(format!("dc-{:02}", node % DCS))
}

fn address(node: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], port))
}

fn document_text(nodes: u32, change: u64) -> String {
    let mut text = format!("[environment]\nname = production\nseats = {nodes}\n");
    for number in 0..DCS {
        let _ = writeln!(text, "[data-centre dc-{number:02}]\nregion = region-{}\nadmission = open", number % 9);
    }
    for number in 0..ORGS * nodes / LARGEST {
        let _ = writeln!(text, "[organisation org-{number:04}]\nweight = 1");
    }
    for number in 0..10 {
        let _ = writeln!(text, "[service model-{number}]\nkind = generate\nstable = v1\nwarm_limit = 8");
    }
    for number in 0..(TARGETS * nodes / LARGEST).max(10) {
        // One target is taken out or brought back with each change.
        let admission = if u64::from(number) == change % 10 && change % 2 == 1 { "out" } else { "open" };
        let (service, place, target) = (number % 10, number % DCS, address(number, 8000 + (number % 7) as u16));
        let _ = write!(text, "[target engine-{number:05}]\nservice = model-{service}\nversion = v1\n");
        let _ = writeln!(text, "data_centre = dc-{place:02}\naddress = {target}\nadmission = {admission}");
    }
    text
}

fn document(nodes: u32, revision: u64) -> Arc<AcceptedDocument> {
    let text = document_text(nodes, revision);
    Arc::new(accepted(revision, Nonce(revision), "operator", &text).expect("the document is valid"))
}

impl Fleet {
    fn new(nodes: u32) -> Self {
        let identity = Identity {
            node: name(0),
            instance: InstanceId(1),
            dc: dc(0),
            caller_address: address(0, 8000),
            peer_address: address(0, 7000),
        };
        let config = NodeConfig { identity, tuning: Tuning::default(), seed: 1, peers: Vec::new() };
        let (core, _) = NodeCore::new(config);
        let previous = document(nodes, 1);
        let mut fleet = Self {
            nodes,
            core,
            now: Moment(0),
            revision: 1,
            previous: previous.clone(),
            sequence: 0,
            change_at: Moment(0) + CHANGE_EVERY,
            meter: Meter::default(),
            rows: BTreeMap::new(),
        };
        let vm = |node| VmEntry {
            node: name(node),
            dc: dc(node),
            caller_address: address(node, 8000),
            peer_address: address(node, 7000),
            state: VmState::Live,
        };
        fleet.handle(&Event::VmsListed((0..nodes).map(vm).collect()));
        fleet.handle(&Event::DocumentParsed(previous));
        fleet
    }

    fn links(&self) -> usize {
        self.core.board().members.iter().filter(|(_, member)| member.is_connected).count()
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.sequence += 1;
            if self.now >= self.change_at {
                self.change_at = self.now + CHANGE_EVERY;
                self.revision += 1;
            }
            self.beats();
            self.handle(&Event::Tick);
        }
    }

    /// Heartbeats of the peers whose turn it is.
    fn beats(&mut self) {
        const TICKS_PER_BEAT: u64 = 25;
        let linked = self.core.board().members.iter().filter(|(_, member)| member.is_connected);
        let large = self.nodes as usize > self.core.board().tuning.max_full_mesh_peers;
        let mut due = Vec::new();
        for (index, (node, member)) in linked.enumerate() {
            let across = large && member.dc.as_ref() != Some(&dc(0));
            let every = if across { 4 * TICKS_PER_BEAT } else { TICKS_PER_BEAT };
            if (self.sequence + index as u64).is_multiple_of(every) {
                due.push(node.clone());
            }
        }
        for node in due {
            let number: u32 = node.as_str().trim_start_matches("entry-").parse().expect("a number");
            let beat = Heartbeat {
                instance: InstanceId(u64::MAX / 3),
                sequence: self.sequence,
                dc: dc(number),
                caller_address: address(number, 8000),
                peer_address: address(number, 7000),
                state: NodeState::Serving,
                revision: Revision(self.revision),
                seats: vec![wasabipier_core::message::SeatClaim { seat: number, epoch: 1 }],
            };
            self.deliver(&node, &PeerMessage::Heartbeat(beat));
        }
    }

    /// A message comes in: its bytes are decoded as a node does.
    fn deliver(&mut self, from: &NodeName, message: &PeerMessage) {
        let bytes = WireFrame::from(message).encode();
        self.meter.got_bytes += bytes.len() + FRAME_HEAD_BYTES;
        let started = Instant::now();
        let message = WireFrame::decode(&bytes).and_then(PeerMessage::try_from).expect("a message");
        self.meter.busy += started.elapsed();
        self.handle(&Event::Peer(from.clone(), Box::new(message)));
    }

    fn handle(&mut self, event: &Event) {
        let started = Instant::now();
        let actions = self.core.handle(self.now, WallTime(0), event);
        self.meter.busy += started.elapsed();
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendToPeer(node, message) => self.send(&node, &message),
            Action::Parse(source) => {
                let started = Instant::now();
                let parsed = accepted_on_base(&source);
                self.meter.parsing += started.elapsed();
                self.meter.busy += started.elapsed();
                self.meter.parsed += 1;
                self.previous = Arc::new(parsed.expect("the document is valid"));
                self.handle(&Event::DocumentParsed(self.previous.clone()));
                // One peer asks this node for what it has now, as it asked one.
                let have = Revision(self.revision - 1);
                self.deliver(&name(1), &PeerMessage::DocumentWanted { wanted: Revision(self.revision), have });
            }
            Action::Store(ticket, op) => {
                let reply = self.store(*op);
                self.handle(&Event::Store(ticket, Box::new(reply)));
            }
            _ => {}
        }
    }

    fn store(&mut self, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Read { key } => {
                self.meter.reads += 1;
                StoreReply::Read(self.rows.get(&key).cloned())
            }
            StoreOp::Write { key, value, .. } => {
                self.meter.writes += 1;
                let version = RowVersion(self.meter.writes);
                self.rows.insert(key, Row { version, value });
                StoreReply::Written(version)
            }
        }
    }

    /// A message goes out; a peer that is asked for the document gives the difference.
    fn send(&mut self, node: &NodeName, message: &PeerMessage) {
        let started = Instant::now();
        let bytes = WireFrame::from(message).encode();
        self.meter.busy += started.elapsed();
        self.meter.sent_bytes += bytes.len() + FRAME_HEAD_BYTES;
        self.meter.messages += 1;
        if let PeerMessage::DocumentWanted { have, .. } = message {
            let new = document_text(self.nodes, self.revision);
            let change = wasabipier_core::message::DocumentChange {
                base: *have,
                revision: Revision(self.revision),
                nonce: Nonce(self.revision),
                author: Arc::from("operator"),
                delta: wasabipier_core::delta::TextDelta::between(&self.previous.text, &new),
            };
            self.deliver(node, &PeerMessage::DocumentChanged(Box::new(change)));
        }
    }
}
