//! Content that brings down the targets that run it, known by its fingerprint under any id.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
use crate::message::PeerMessage;
use crate::names::{Fingerprint, InstanceId, NodeName, TargetName};

/// Targets that each content has brought down; none for content that was acquitted.
#[derive(Clone, Debug, Default)]
pub struct HarmfulTable {
    downed: BTreeMap<Fingerprint, BTreeSet<TargetName>>,
    /// News that peers may have missed, with the moment until which it is repeated to all.
    news: BTreeMap<Fingerprint, Moment>,
    acquitted: BTreeSet<Fingerprint>,
}

impl HarmfulTable {
    /// Most contents remembered; the lowest fingerprints are forgotten first.
    const BOUND: usize = 10_000;
    /// Time for which this node repeats what it found out.
    const NEWS_FOR: Duration = Duration::from_secs(10);

    /// Notes that `target` went down while it ran `content`; tells whether that is news.
    pub fn note(&mut self, content: Fingerprint, target: TargetName) -> bool {
        if self.acquitted.contains(&content) {
            return false;
        }
        if self.downed.len() >= Self::BOUND && !self.downed.contains_key(&content) {
            self.downed.pop_first();
        }
        self.downed.entry(content).or_default().insert(target)
    }

    /// Clears content that ran to its end: the targets went down for another reason. Tells whether it was suspected.
    pub fn acquit(&mut self, content: Fingerprint) -> bool {
        let suspected = self.downed.remove(&content).is_some();
        if suspected {
            if self.acquitted.len() >= Self::BOUND {
                self.acquitted.pop_first();
            }
            self.acquitted.insert(content);
        }
        suspected
    }

    /// Targets that `content` has brought down.
    #[must_use]
    pub fn downed(&self, content: Fingerprint) -> usize {
        self.downed.get(&content).map_or(0, BTreeSet::len)
    }

    /// The targets, to tell peers.
    #[must_use]
    pub fn targets(&self, content: Fingerprint) -> Vec<TargetName> {
        self.downed.get(&content).into_iter().flatten().cloned().collect()
    }

    /// Repeats what is known of `content` to all peers for a while.
    pub fn spread(&mut self, content: Fingerprint, now: Moment) {
        self.news.insert(content, now + Self::NEWS_FOR);
    }
}

/// Keeps all nodes told of harmful content: a message can be lost, and a node can start late.
#[derive(Debug, Default)]
pub struct HarmfulController {
    repeat_at: Moment,
    met: BTreeMap<NodeName, InstanceId>,
}

impl HarmfulController {
    /// Interval at which news is told again.
    const REPEAT_EVERY: Duration = Duration::from_secs(1);
    /// Most news told again at once.
    const NEWS_AT_ONCE: usize = 10;
    /// Most contents told to a node that is met for the first time, or again after silence.
    const TOLD_AT_ONCE: usize = 100;
    /// Silence of a peer after which it may have missed something.
    const MISSED_AFTER: Duration = Duration::from_secs(2);

    fn repeat(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if board.now < self.repeat_at {
            return;
        }
        self.repeat_at = board.now + Self::REPEAT_EVERY;
        let now = board.now;
        board.harmful.news.retain(|_, until| *until > now);
        let news: Vec<Fingerprint> = board.harmful.news.keys().copied().take(Self::NEWS_AT_ONCE).collect();
        for content in news {
            tell(board, content, out);
        }
    }

    fn meet(&mut self, board: &Blackboard, node: &NodeName, instance: InstanceId, out: &mut Vec<Action>) {
        let known = self.met.insert(node.clone(), instance) == Some(instance);
        // The heartbeat at hand is noted after this.
        let heard = board.members.get(node).map(|member| member.heard).unwrap_or_default();
        if known && board.now.since(heard) < Self::MISSED_AFTER {
            return;
        }
        for content in board.harmful.downed.keys().take(Self::TOLD_AT_ONCE) {
            out.push(Action::Tell(node.clone(), Box::new(message(board, *content))));
        }
    }
}

impl Controller for HarmfulController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.repeat(board, out),
            Event::Peer(from, message) => match &**message {
                PeerMessage::Heartbeat(beat) => self.meet(board, from, beat.instance, out),
                PeerMessage::Harmful { content, targets } => hear(board, *content, targets),
                _ => {}
            },
            _ => {}
        }
    }
}

/// Notes what a peer says; no targets at all mean that the content was acquitted.
fn hear(board: &mut Blackboard, content: Fingerprint, targets: &[TargetName]) {
    if targets.is_empty() {
        board.harmful.acquit(content);
    }
    for target in targets {
        board.harmful.note(content, target.clone());
    }
}

fn message(board: &Blackboard, content: Fingerprint) -> PeerMessage {
    PeerMessage::Harmful { content, targets: board.harmful.targets(content) }
}

/// Tells all peers what this node found out of `content`, and repeats it for a while.
pub fn spread(board: &mut Blackboard, content: Fingerprint, out: &mut Vec<Action>) {
    board.harmful.spread(content, board.now);
    tell(board, content, out);
}

fn tell(board: &Blackboard, content: Fingerprint, out: &mut Vec<Action>) {
    for (node, _) in board.members.alive() {
        out.push(Action::Tell(node.clone(), Box::new(message(board, content))));
    }
}
