//! Lends free permits to peers that have requests waiting, and borrows from them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{Moment, TickPace};
use crate::controller::Controller;
use crate::event::Event;
use crate::message::{Heartbeat, PeerMessage};
use crate::names::{NodeName, ServiceName, TargetName};
use crate::picker;

/// A question for a permit that was not answered yet.
#[derive(Clone, Debug)]
struct Question {
    target: TargetName,
    service: ServiceName,
    asked: Moment,
}

/// Lends and borrows.
#[derive(Debug, Default)]
pub struct LendingController {
    last_ticket: u64,
    questions: BTreeMap<u64, Question>,
    expiry: TickPace,
}

impl LendingController {
    /// Interval at which loans and unused permits are looked through.
    const EXPIRE_EVERY: Duration = Duration::from_millis(100);
    /// Questions for one service that may be open at once.
    const OPEN_PER_SERVICE: usize = 4;
    /// Time after the longest call before a permit that was not returned is used again.
    const LOAN_MARGIN: Duration = Duration::from_millis(500);

    fn ask(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let (now, lend_for) = (board.now, board.tuning.lend_for);
        self.questions.retain(|_, question| now.since(question.asked) < lend_for);
        let mut previous = None;
        while let Some(service) = board.queues.next_busy(previous.as_ref()) {
            let open = self.questions.values().filter(|question| question.service == service).count();
            let waiting = board.queues.of(&service).len();
            for _ in open..waiting.min(Self::OPEN_PER_SERVICE) {
                self.ask_one(board, &service, out);
            }
            previous = Some(service);
        }
    }

    fn ask_one(&mut self, board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
        let draw = board.random.f64();
        let versions = board.versions.order(&board.document.content, service, draw);
        let Some(version) = versions.first() else { return };
        let targets = board.targets.of(service, version);
        if targets.is_empty() {
            return;
        }
        let start = board.random.clone().usize(0..targets.len());
        let mut rotated = targets[start..].iter().chain(&targets[..start]);
        let Some(target) = rotated.find(|target| picker::is_open(board, target)).cloned() else { return };
        let holders: Vec<NodeName> = holders(board, &target);
        if holders.is_empty() {
            return;
        }
        let holder = holders[board.random.usize(0..holders.len())].clone();
        self.last_ticket += 1;
        let question = Question { target: target.clone(), service: service.clone(), asked: board.now };
        self.questions.insert(self.last_ticket, question);
        let message = PeerMessage::PermitWanted { target, ticket: self.last_ticket };
        out.push(Action::Tell(holder, Box::new(message)));
    }

    fn on_peer(&mut self, board: &mut Blackboard, from: &NodeName, message: &PeerMessage, out: &mut Vec<Action>) {
        match message {
            PeerMessage::PermitWanted { target, ticket } => lend(board, from, target, *ticket, out),
            PeerMessage::PermitLent { ticket, start_within_ms, .. } => {
                let Some(question) = self.questions.remove(ticket) else { return };
                let Some(start_within_ms) = start_within_ms else { return };
                let start_within = Duration::from_millis(u64::from(*start_within_ms));
                board.permits.borrow(&question.target, from, *ticket, question.asked, start_within);
                board.counters.borrowed += 1;
            }
            PeerMessage::PermitReturned { ticket, target } => board.permits.end_loan(target, from, *ticket),
            _ => {}
        }
    }
}

impl Controller for LendingController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => self.on_peer(board, from, message, out),
            Event::Tick => {
                if self.expiry.is_due(Self::EXPIRE_EVERY, board.now) {
                    give_back_unused(board, out);
                }
                self.ask(board, out);
            }
            _ => {}
        }
    }
}

fn give_back_unused(board: &mut Blackboard, out: &mut Vec<Action>) {
    for unused in board.permits.expire(board.now) {
        let message = PeerMessage::PermitReturned { ticket: unused.ticket, target: unused.target };
        out.push(Action::Tell(unused.lender, Box::new(message)));
    }
}

/// Peers whose seats carry a share of the target's limit.
fn holders(board: &Blackboard, target: &TargetName) -> Vec<NodeName> {
    let Some(view) = board.targets.get(target) else { return Vec::new() };
    let limit = view.limit_at(&board.tuning, board.now);
    let carries = |beat: &Heartbeat| board.permits.share_of(target, &beat.seats, limit) > 0;
    board.members.alive().filter(|(_, beat)| carries(beat)).map(|(node, _)| node.clone()).collect()
}

fn lend(board: &mut Blackboard, to: &NodeName, target: &TargetName, ticket: u64, out: &mut Vec<Action>) {
    let lend_for = board.tuning.lend_for;
    let ends = board.now + lend_for + board.tuning.longest_call + LendingController::LOAN_MARGIN;
    let limit = board.targets.get(target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
    let service = board.document.content.targets.get(target).map(|spec| spec.service.clone());
    let needed_here = service.is_none_or(|service| !board.queues.of(&service).is_empty());
    let lent = !needed_here && picker::is_open(board, target) && board.permits.lend(target, limit, to, ticket, ends);
    let start_within_ms = lent.then_some(lend_for.as_millis() as u32);
    let message = PeerMessage::PermitLent { ticket, target: target.clone(), start_within_ms };
    out.push(Action::Tell(to.clone(), Box::new(message)));
}
