//! Membership: discovers peers and detects those that have failed.
//!
//! Heartbeats between connected nodes decide whether a peer is alive. The platform's VM list, which lags, is only a
//! hint: it names peers that have sent no heartbeat yet and shows which VMs run and which will be stopped soon.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{IntervalTimer, Moment};
use crate::controller::Controller;
use crate::document::Revision;
use crate::event::{Event, VmEntry, VmState};
use crate::members::{Member, VmListing};
use crate::message::{Heartbeat, NodeState, PeerMessage};
use crate::names::{DcName, NodeName};

/// Maintains the member table: sends heartbeats, detects dead peers and chooses which peers to connect to.
#[derive(Debug, Default)]
pub struct MemberController {
    /// Number of the last heartbeat.
    sequence: u64,
    next_heartbeat_at: Moment,
    liveness_timer: IntervalTimer,
    next_connection_update_at: Moment,
    /// Number of known peers when connections were last updated.
    known_peer_count: usize,
    /// State and document revision in the last heartbeat; `None` before the first.
    last_announced: Option<(NodeState, Revision)>,
}

impl MemberController {
    /// Silence after which a peer that the platform's VM list does not show as live is removed.
    const PEER_REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);
    /// Interval at which peers are checked for silence.
    const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
    /// Interval at which connections are updated, in addition to updates for new peers.
    const CONNECTION_UPDATE_INTERVAL: Duration = Duration::from_secs(5);
    /// In a large environment, only one in this many heartbeats is sent to peers of other data centres.
    const REMOTE_HEARTBEAT_DIVISOR: u64 = 4;

    /// Returns whether the environment is large: a node then no longer connects to every peer.
    fn exceeds_full_mesh(board: &Blackboard) -> bool {
        board.members.len() > board.tuning.max_full_mesh_peers
    }

    /// Returns the factor by which heartbeats to and from `member` are less frequent, which is above 1 only for peers
    /// of other data centres in a large environment. The silence after which `member` is considered dead is longer by
    /// the same factor.
    fn heartbeat_divisor(is_large: bool, own_dc: &DcName, member: &Member) -> u32 {
        let is_remote = is_large && member.dc.as_ref() != Some(own_dc);
        if is_remote { Self::REMOTE_HEARTBEAT_DIVISOR as u32 } else { 1 }
    }

    /// Sends a heartbeat to connected peers: to all if `is_changed` is set, otherwise to those whose divisor divides
    /// the heartbeat's number.
    fn send_heartbeats(&mut self, board: &mut Blackboard, is_changed: bool, out: &mut Vec<Action>) {
        self.sequence += 1;
        self.next_heartbeat_at = board.now + board.tuning.heartbeat_interval;
        self.last_announced = Some((board.state, board.document.revision));
        let heartbeat = Heartbeat {
            instance: board.identity.instance,
            sequence: self.sequence,
            dc: board.identity.dc.clone(),
            caller_address: board.identity.caller_address,
            peer_address: board.identity.peer_address,
            state: board.state,
            revision: board.document.revision,
            seats: board.permits.announced_seats.clone(),
        };
        let is_large = Self::exceeds_full_mesh(board);
        for (node, member) in board.members.iter().filter(|(_, member)| member.is_connected) {
            let heartbeat_divisor = u64::from(Self::heartbeat_divisor(is_large, &board.identity.dc, member));
            if is_changed || self.sequence.is_multiple_of(heartbeat_divisor) {
                out.push(Action::SendToPeer(node.clone(), Box::new(PeerMessage::Heartbeat(heartbeat.clone()))));
            }
        }
    }

    /// Marks peers as dead after too long a silence, and removes those that the VM list does not show as live after a
    /// longer one.
    fn check_liveness(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if !self.liveness_timer.is_due(Self::LIVENESS_CHECK_INTERVAL, board.now) {
            return;
        }
        let (now, peer_timeout, is_large) = (board.now, board.tuning.peer_timeout, Self::exceeds_full_mesh(board));
        let own_dc = board.identity.dc.clone();
        let mut removed = Vec::new();
        for (node, member) in board.members.iter_mut() {
            let silence = now.since(member.last_heartbeat_at);
            if silence > peer_timeout * Self::heartbeat_divisor(is_large, &own_dc, member) {
                member.is_alive = false;
            }
            if member.listing != VmListing::Live && silence > Self::PEER_REMOVAL_TIMEOUT {
                removed.push(node.clone());
            }
        }
        for node in removed {
            board.members.remove(&node);
            out.push(Action::Disconnect(node));
        }
    }

    /// Connects to the selected peers and to every live peer, which includes those that selected this node, and
    /// disconnects from all others. Does nothing until the peers change or the update interval has passed.
    fn update_connections(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let is_update_needed = self.known_peer_count != board.members.len()
            || board.members.iter().any(|(_, member)| lacks_connection(member));
        if !is_update_needed && board.now < self.next_connection_update_at {
            return;
        }
        self.known_peer_count = board.members.len();
        self.next_connection_update_at = board.now + Self::CONNECTION_UPDATE_INTERVAL;
        let (identity, tuning) = (&board.identity, &board.tuning);
        let selected = board.members.select_peers(
            &identity.node,
            &identity.dc,
            tuning.max_full_mesh_peers,
            tuning.links_per_remote_dc,
        );
        for (node, member) in board.members.iter_mut() {
            let is_wanted = selected.contains(node) || member.is_alive;
            if is_wanted && !member.is_connected {
                out.push(Action::Connect(node.clone(), member.peer_address));
            } else if !is_wanted && member.is_connected {
                out.push(Action::Disconnect(node.clone()));
            }
            member.is_connected = is_wanted;
        }
    }
}

impl Controller for MemberController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => {
                if let PeerMessage::Heartbeat(heartbeat) = &**message {
                    handle_heartbeat(board, from, heartbeat);
                    self.update_connections(board, out);
                }
            }
            Event::VmsListed(entries) => {
                handle_vm_list(board, entries);
                self.update_connections(board, out);
            }
            Event::Tick => {
                self.check_liveness(board, out);
                self.update_connections(board, out);
            }
            _ => {}
        }
        // A new state or document revision is announced at once, everything else with the next heartbeat.
        let is_changed = self.last_announced != Some((board.state, board.document.revision));
        if is_changed || board.now >= self.next_heartbeat_at {
            self.send_heartbeats(board, is_changed, out);
        }
    }
}

/// Returns whether a peer is live but not connected: its address changed, or it selected this node but not vice versa.
fn lacks_connection(member: &Member) -> bool {
    member.is_alive && !member.is_connected
}

/// Records a peer's heartbeat and the address and data centre in it. Ignores this node's own.
fn handle_heartbeat(board: &mut Blackboard, from: &NodeName, heartbeat: &Heartbeat) {
    if *from == board.identity.node {
        return;
    }
    board.members.add_or_update(from, heartbeat.peer_address, Some(&heartbeat.dc));
    let now = board.now;
    board.members.record_heartbeat(from, heartbeat, now);
}

/// Adds the nodes of the platform's VM list as peers, and records how the list shows each peer.
fn handle_vm_list(board: &mut Blackboard, entries: &[VmEntry]) {
    for entry in entries.iter().filter(|entry| entry.node != board.identity.node) {
        // The address in a live peer's heartbeat is more recent than the one in the list, which lags.
        let is_alive = board.members.get(&entry.node).is_some_and(|member| member.is_alive);
        if !is_alive {
            board.members.add_or_update(&entry.node, entry.peer_address, Some(&entry.dc));
        }
    }
    let listed: BTreeMap<&NodeName, VmState> = entries.iter().map(|entry| (&entry.node, entry.state)).collect();
    for (node, member) in board.members.iter_mut() {
        member.listing = match listed.get(node) {
            Some(VmState::Live) => VmListing::Live,
            Some(VmState::Leaving) => VmListing::Leaving,
            None => VmListing::Absent,
        };
    }
}
