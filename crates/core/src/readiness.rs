//! Whether this node takes new work: a document, someone to talk to, and no stop under way.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::document::Revision;
use crate::event::Event;
use crate::message::NodeState;

/// Keeps the node's state, and stops it gracefully.
#[derive(Debug, Default)]
pub struct ReadinessController {
    closes: Option<Moment>,
    stopped: bool,
}

impl ReadinessController {
    /// Time for peers to hear that a node leaves, before the answers that they hand out omit it.
    const TOLD_WITHIN: Duration = Duration::from_secs(1);

    fn judge(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if let Some(closes) = self.closes {
            self.leave(board, closes, out);
            return;
        }
        let heard = board.store.last_answer().max(board.members.last_heard());
        let isolated = board.now.since(heard) > board.tuning.isolated_after;
        let ready = board.document.revision > Revision(0) && !isolated;
        board.state = if ready { NodeState::Serving } else { NodeState::Starting };
    }

    fn leave(&mut self, board: &mut Blackboard, closes: Moment, out: &mut Vec<Action>) {
        board.closed |= board.now >= closes;
        let idle = board.requests.is_empty() && board.requests.settlements.is_empty();
        if board.closed && idle && !self.stopped {
            self.stopped = true;
            out.push(Action::Stopped);
        }
    }
}

impl Controller for ReadinessController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        // An attempt says nothing of the node, and comes with each token.
        if matches!(event, Event::Attempt(..)) {
            return;
        }
        if matches!(event, Event::StopAsked) && self.closes.is_none() {
            self.closes = Some(board.now + Self::TOLD_WITHIN + board.tuning.addresses_kept);
            // A node that was not ready has no caller to wait for.
            board.closed = board.state != NodeState::Serving;
            board.state = NodeState::Leaving;
        }
        self.judge(board, out);
    }
}
