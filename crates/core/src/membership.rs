//! Finds and loses peers: heartbeats between those that are connected, the platform's list as a hint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{Moment, TickPace};
use crate::controller::Controller;
use crate::document::Revision;
use crate::event::{Event, VmEntry, VmState};
use crate::members::{Member, VmListing};
use crate::message::{Heartbeat, NodeState, PeerMessage};
use crate::names::{DcName, NodeName};

/// Keeps the table of members.
#[derive(Debug, Default)]
pub struct MemberController {
    sequence: u64,
    beat_at: Moment,
    judging: TickPace,
    link_at: Moment,
    known: usize,
    told: Option<(NodeState, Revision)>,
}

impl MemberController {
    /// Silence after which a peer that the platform's list does not name is forgotten.
    const FORGET_AFTER: Duration = Duration::from_mins(1);
    /// Interval at which peers are judged.
    const JUDGE_EVERY: Duration = Duration::from_millis(100);
    /// Interval at which connections are chosen anew, besides when a peer is new.
    const LINK_EVERY: Duration = Duration::from_secs(5);
    /// In a large environment, peers of other data centres get every so many heartbeats.
    const ACROSS_EVERY: u64 = 4;

    fn is_large(board: &Blackboard) -> bool {
        board.members.len() > board.tuning.full_mesh_up_to
    }

    /// How many times longer a peer may be silent, as it sends so many fewer heartbeats.
    fn patience(large: bool, own: &DcName, member: &Member) -> u32 {
        let across = large && member.dc.as_ref() != Some(own);
        if across { Self::ACROSS_EVERY as u32 } else { 1 }
    }

    fn beat(&mut self, board: &mut Blackboard, news: bool, out: &mut Vec<Action>) {
        self.sequence += 1;
        self.beat_at = board.now + board.tuning.heartbeat_every;
        self.told = Some((board.state, board.document.revision));
        let beat = Heartbeat {
            instance: board.identity.instance,
            sequence: self.sequence,
            dc: board.identity.dc.clone(),
            caller_address: board.identity.caller_address,
            peer_address: board.identity.peer_address,
            state: board.state,
            revision: board.document.revision,
            seats: board.permits.announced.clone(),
        };
        let large = Self::is_large(board);
        for (node, member) in board.members.iter().filter(|(_, member)| member.linked) {
            let patience = u64::from(Self::patience(large, &board.identity.dc, member));
            if news || self.sequence.is_multiple_of(patience) {
                out.push(Action::Tell(node.clone(), Box::new(PeerMessage::Heartbeat(beat.clone()))));
            }
        }
    }

    fn judge(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if !self.judging.is_due(Self::JUDGE_EVERY, board.now) {
            return;
        }
        let (now, dead_after, large) = (board.now, board.tuning.peer_dead_after, Self::is_large(board));
        let own = board.identity.dc.clone();
        let mut forgotten = Vec::new();
        for (node, member) in board.members.iter_mut() {
            let silence = now.since(member.heard);
            if silence > dead_after * Self::patience(large, &own, member) {
                member.alive = false;
            }
            if member.listing != VmListing::Live && silence > Self::FORGET_AFTER {
                forgotten.push(node.clone());
            }
        }
        for node in forgotten {
            board.members.forget(&node);
            out.push(Action::Disconnect(node));
        }
    }

    /// Keeps connections to the peers that were chosen and to those that chose this node.
    fn link(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let news = self.known != board.members.len() || board.members.iter().any(|(_, member)| lacks_link(member));
        if !news && board.now < self.link_at {
            return;
        }
        self.known = board.members.len();
        self.link_at = board.now + Self::LINK_EVERY;
        let (identity, tuning) = (&board.identity, &board.tuning);
        let chosen = board.members.chosen(&identity.node, &identity.dc, tuning.full_mesh_up_to, tuning.links_across);
        for (node, member) in board.members.iter_mut() {
            let wanted = chosen.contains(node) || member.alive;
            if wanted && !member.linked {
                out.push(Action::Connect(node.clone(), member.peer_address));
            } else if !wanted && member.linked {
                out.push(Action::Disconnect(node.clone()));
            }
            member.linked = wanted;
        }
    }
}

impl Controller for MemberController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => {
                if let PeerMessage::Heartbeat(beat) = &**message {
                    on_heartbeat(board, from, beat);
                    self.link(board, out);
                }
            }
            Event::VmsListed(entries) => {
                on_list(board, entries);
                self.link(board, out);
            }
            Event::Tick => {
                self.judge(board, out);
                self.link(board, out);
            }
            _ => {}
        }
        // What others must know is told at once, the rest with the next heartbeat.
        let news = self.told != Some((board.state, board.document.revision));
        if news || board.now >= self.beat_at {
            self.beat(board, news, out);
        }
    }
}

/// A peer that moved, or that chose this node, is not connected to yet.
fn lacks_link(member: &Member) -> bool {
    member.alive && !member.linked
}

fn on_heartbeat(board: &mut Blackboard, from: &NodeName, beat: &Heartbeat) {
    if *from == board.identity.node {
        return;
    }
    board.members.introduce(from, beat.peer_address, Some(&beat.dc));
    let now = board.now;
    board.members.note(from, beat, now);
}

fn on_list(board: &mut Blackboard, entries: &[VmEntry]) {
    for entry in entries.iter().filter(|entry| entry.node != board.identity.node) {
        // A heartbeat knows the address better than a list that lags.
        let alive = board.members.get(&entry.node).is_some_and(|member| member.alive);
        if !alive {
            board.members.introduce(&entry.node, entry.peer_address, Some(&entry.dc));
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
