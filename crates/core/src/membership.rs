//! Finds and loses peers: heartbeats between all, the platform's list as a hint.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::{Event, VmEntry, VmState};
use crate::message::{Heartbeat, NodeState, PeerMessage};
use crate::names::NodeName;

/// Keeps the table of members.
#[derive(Debug, Default)]
pub struct MemberController {
    sequence: u64,
    beat_at: Moment,
    told: Option<(NodeState, crate::document::Revision)>,
}

impl MemberController {
    /// Silence after which a peer that the platform's list does not name is forgotten.
    const FORGET_AFTER: Duration = Duration::from_mins(1);

    fn beat(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
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
            seats: board.permits.seats().to_vec(),
        };
        for (node, _) in board.members.iter() {
            out.push(Action::Tell(node.clone(), Box::new(PeerMessage::Heartbeat(beat.clone()))));
        }
    }

    fn judge(board: &mut Blackboard, out: &mut Vec<Action>) {
        let (now, dead_after) = (board.now, board.tuning.peer_dead_after);
        let mut forgotten = Vec::new();
        for (node, member) in board.members.iter_mut() {
            let silence = now.since(member.heard);
            if silence > dead_after {
                member.alive = false;
            }
            if member.leaving && silence > Self::FORGET_AFTER {
                forgotten.push(node.clone());
            }
        }
        for node in forgotten {
            board.members.forget(&node);
            out.push(Action::Disconnect(node));
        }
    }
}

impl Controller for MemberController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => {
                if let PeerMessage::Heartbeat(beat) = &**message {
                    on_heartbeat(board, from, beat, out);
                }
            }
            Event::VmsListed(entries) => on_list(board, entries, out),
            Event::Tick => Self::judge(board, out),
            _ => {}
        }
        // What others must know is told at once, the rest with the next heartbeat.
        let news = self.told != Some((board.state, board.document.revision));
        if news || board.now >= self.beat_at {
            self.beat(board, out);
        }
    }
}

fn on_heartbeat(board: &mut Blackboard, from: &NodeName, beat: &Heartbeat, out: &mut Vec<Action>) {
    if *from == board.identity.node {
        return;
    }
    if board.members.introduce(from, beat.peer_address) {
        out.push(Action::Connect(from.clone(), beat.peer_address));
    }
    let now = board.now;
    board.members.note(from, beat, now);
}

fn on_list(board: &mut Blackboard, entries: &[VmEntry], out: &mut Vec<Action>) {
    for entry in entries.iter().filter(|entry| entry.node != board.identity.node) {
        let known = board.members.get(&entry.node);
        // A heartbeat knows the address better than a list that lags.
        let alive = known.is_some_and(|member| member.alive);
        if !alive && board.members.introduce(&entry.node, entry.peer_address) {
            out.push(Action::Connect(entry.node.clone(), entry.peer_address));
        }
    }
    for (node, member) in board.members.iter_mut() {
        let listed = entries.iter().find(|entry| entry.node == *node);
        member.leaving = match listed {
            Some(entry) => entry.state == VmState::Leaving,
            None => !member.alive,
        };
    }
}
