//! Harmful content: content of requests that crashes the targets that run it. Content is identified by its fingerprint,
//! so that a request with the same content under another id is recognised.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::event::Event;
use crate::message::PeerMessage;
use crate::names::{Fingerprint, InstanceId, NodeName, TargetName};

/// Targets that each content has crashed, and contents that were cleared of suspicion.
#[derive(Clone, Debug, Default)]
pub struct HarmfulTable {
    crashed_targets: BTreeMap<Fingerprint, BTreeSet<TargetName>>,
    /// Contents whose state peers may have missed, with the time until which it is repeated to all peers.
    announcements: BTreeMap<Fingerprint, Moment>,
    /// Contents that ran to their end after a crash. Further crashes with them are not recorded.
    cleared: BTreeSet<Fingerprint>,
}

impl HarmfulTable {
    /// Maximum number of suspected contents, and of cleared contents. The lowest fingerprints are evicted first.
    const MAX_CONTENTS: usize = 10_000;
    /// Time for which this node repeats an announcement of a content to all peers.
    const ANNOUNCEMENT_DURATION: Duration = Duration::from_secs(10);

    /// Records that `target` crashed while it ran `content`. Returns whether this is new; false for cleared content.
    pub fn record_crash(&mut self, content: Fingerprint, target: TargetName) -> bool {
        if self.cleared.contains(&content) {
            return false;
        }
        if self.crashed_targets.len() >= Self::MAX_CONTENTS && !self.crashed_targets.contains_key(&content) {
            self.crashed_targets.pop_first();
        }
        self.crashed_targets.entry(content).or_default().insert(target)
    }

    /// Clears content that ran to its end, which shows that its targets crashed for another reason. Returns whether the
    /// content was suspected.
    pub fn clear_content(&mut self, content: Fingerprint) -> bool {
        let was_suspected = self.crashed_targets.remove(&content).is_some();
        if was_suspected {
            if self.cleared.len() >= Self::MAX_CONTENTS {
                self.cleared.pop_first();
            }
            self.cleared.insert(content);
        }
        was_suspected
    }

    /// Returns the number of targets that `content` has crashed.
    #[must_use]
    pub fn count_crashed_targets(&self, content: Fingerprint) -> usize {
        self.crashed_targets.get(&content).map_or(0, BTreeSet::len)
    }

    /// Returns the targets that `content` has crashed, for a message to peers.
    #[must_use]
    pub fn crashed_targets(&self, content: Fingerprint) -> Vec<TargetName> {
        self.crashed_targets.get(&content).into_iter().flatten().cloned().collect()
    }

    /// Schedules that the state of `content` is repeated to all peers for `ANNOUNCEMENT_DURATION` from `now`.
    pub fn schedule_announcement(&mut self, content: Fingerprint, now: Moment) {
        self.announcements.insert(content, now + Self::ANNOUNCEMENT_DURATION);
    }
}

/// Keeps all nodes informed of harmful content. Announcements are repeated, since a message can be lost, and known
/// contents are sent to peers that start or were silent.
#[derive(Debug, Default)]
pub struct HarmfulController {
    next_repeat_at: Moment,
    /// Instance of each peer from which a heartbeat arrived.
    known_instances: BTreeMap<NodeName, InstanceId>,
}

impl HarmfulController {
    /// Interval at which announcements are repeated.
    const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
    /// Maximum number of announcements repeated at once.
    const MAX_REPEATED_AT_ONCE: usize = 10;
    /// Maximum number of contents sent to a peer that has started or was silent.
    const MAX_SENT_AT_ONCE: usize = 100;
    /// Silence of a peer after which it may have missed messages.
    const PEER_SILENCE_LIMIT: Duration = Duration::from_secs(2);

    fn repeat_announcements(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if board.now < self.next_repeat_at {
            return;
        }
        self.next_repeat_at = board.now + Self::REPEAT_INTERVAL;
        let now = board.now;
        board.harmful.announcements.retain(|_, until| *until > now);
        let announced: Vec<Fingerprint> =
            board.harmful.announcements.keys().copied().take(Self::MAX_REPEATED_AT_ONCE).collect();
        for content in announced {
            send_to_peers(board, content, out);
        }
    }

    fn send_missed(&mut self, board: &Blackboard, node: &NodeName, instance: InstanceId, out: &mut Vec<Action>) {
        let is_known = self.known_instances.insert(node.clone(), instance) == Some(instance);
        // The heartbeat that is being handled is recorded later, so `last_heartbeat_at` is the time of the one before.
        let last_heartbeat_at = board.members.get(node).map(|member| member.last_heartbeat_at).unwrap_or_default();
        if is_known && board.now.since(last_heartbeat_at) < Self::PEER_SILENCE_LIMIT {
            return;
        }
        for content in board.harmful.crashed_targets.keys().take(Self::MAX_SENT_AT_ONCE) {
            out.push(Action::SendToPeer(node.clone(), Box::new(build_message(board, *content))));
        }
    }
}

impl Controller for HarmfulController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.repeat_announcements(board, out),
            Event::Peer(from, message) => match &**message {
                PeerMessage::Heartbeat(heartbeat) => self.send_missed(board, from, heartbeat.instance, out),
                PeerMessage::Harmful { content, targets } => handle_peer_report(board, *content, targets),
                _ => {}
            },
            _ => {}
        }
    }
}

/// Records what a peer reports. An empty list of targets means that the content was cleared.
fn handle_peer_report(board: &mut Blackboard, content: Fingerprint, targets: &[TargetName]) {
    if targets.is_empty() {
        board.harmful.clear_content(content);
    }
    for target in targets {
        board.harmful.record_crash(content, target.clone());
    }
}

fn build_message(board: &Blackboard, content: Fingerprint) -> PeerMessage {
    PeerMessage::Harmful { content, targets: board.harmful.crashed_targets(content) }
}

/// Sends the state of `content` to all live peers, and schedules its repetition.
pub fn announce(board: &mut Blackboard, content: Fingerprint, out: &mut Vec<Action>) {
    board.harmful.schedule_announcement(content, board.now);
    send_to_peers(board, content, out);
}

fn send_to_peers(board: &Blackboard, content: Fingerprint, out: &mut Vec<Action>) {
    for (node, _) in board.members.alive() {
        out.push(Action::SendToPeer(node.clone(), Box::new(build_message(board, content))));
    }
}
