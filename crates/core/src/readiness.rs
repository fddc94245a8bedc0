//! Decides whether this node takes new work: it needs a document, contact with the store or a peer, and no stop in
//! progress.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::document::Revision;
use crate::event::Event;
use crate::message::NodeState;

/// Updates the node's state, and stops the node gracefully.
#[derive(Debug, Default)]
pub struct ReadinessController {
    /// The moment from which a stopping node refuses requests, or `None` while no stop is in progress.
    refuses_from: Option<Moment>,
    /// Whether [`Action::Stopped`] was sent.
    is_stopped: bool,
}

impl ReadinessController {
    /// Time for peers to receive the notice that this node leaves. After it, the lists of addresses that peers give to
    /// callers omit the node.
    const PEER_NOTICE_DELAY: Duration = Duration::from_secs(1);

    /// Sets the node's state: serving if it has a document and recent contact, and starting otherwise. Finishes a stop
    /// that is in progress instead.
    fn update_state(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if let Some(refuses_from) = self.refuses_from {
            self.finish_leaving(board, refuses_from, out);
            return;
        }
        let last_contact = board.store.last_reply_at().max(board.members.last_heartbeat_at());
        let is_isolated = board.now.since(last_contact) > board.tuning.isolation_timeout;
        let is_ready = board.document.revision > Revision(0) && !is_isolated;
        board.state = if is_ready { NodeState::Serving } else { NodeState::Starting };
    }

    /// Refuses new requests from `refuses_from` on, and reports the node as stopped once it then has no open request.
    fn finish_leaving(&mut self, board: &mut Blackboard, refuses_from: Moment, out: &mut Vec<Action>) {
        board.is_refusing_requests |= board.now >= refuses_from;
        let is_idle = board.requests.is_empty() && board.requests.settlements.is_empty();
        if board.is_refusing_requests && is_idle && !self.is_stopped {
            self.is_stopped = true;
            out.push(Action::Stopped);
        }
    }
}

impl Controller for ReadinessController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        // An attempt event has no effect on the node's state, and there is one for each token.
        if matches!(event, Event::Attempt(..)) {
            return;
        }
        if matches!(event, Event::StopRequested) && self.refuses_from.is_none() {
            self.refuses_from = Some(board.now + Self::PEER_NOTICE_DELAY + board.tuning.addresses_ttl);
            // A node that was not serving need not wait for callers that still hold its address.
            board.is_refusing_requests = board.state != NodeState::Serving;
            board.state = NodeState::Leaving;
        }
        self.update_state(board, out);
    }
}
