//! Lends free permits to peers with waiting requests, and borrows permits from peers.
//!
//! A permit is the right to one call
//! in flight at one target.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::{IntervalTimer, Moment};
use crate::controller::Controller;
use crate::event::Event;
use crate::message::{Heartbeat, PeerMessage};
use crate::names::{NodeName, ServiceName, TargetName};
use crate::picker;

/// A request to a peer for a permit, to which no reply has arrived yet.
#[derive(Clone, Debug)]
struct PermitRequest {
    target: TargetName,
    service: ServiceName,
    sent_at: Moment,
}

/// Requests permits from peers, answers their requests and returns unused permits.
#[derive(Debug, Default)]
pub struct LendingController {
    /// Number of the last permit request.
    last_ticket: u64,
    /// Requests without a reply, by ticket.
    pending_requests: BTreeMap<u64, PermitRequest>,
    expiry_timer: IntervalTimer,
}

impl LendingController {
    /// Interval between checks for expired loans and unused permits.
    const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
    /// Maximum number of unanswered permit requests for one service.
    const MAX_PENDING_PER_SERVICE: usize = 4;
    /// Time added to `borrowed_permit_timeout` and the longest call, after which a lent permit that was not returned is
    /// used again.
    const LOAN_MARGIN: Duration = Duration::from_millis(500);

    /// Requests a permit for each waiting request, with at most `MAX_PENDING_PER_SERVICE` unanswered for one service.
    /// Forgets earlier requests to which no reply arrived in time.
    fn request_permits(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        let (now, borrowed_permit_timeout) = (board.now, board.tuning.borrowed_permit_timeout);
        self.pending_requests.retain(|_, request| now.since(request.sent_at) < borrowed_permit_timeout);
        let mut previous = None;
        while let Some(service) = board.queues.next_busy(previous.as_ref()) {
            let pending_count = self.pending_requests.values().filter(|request| request.service == service).count();
            let waiting_count = board.queues.queue_mut(&service).len();
            for _ in pending_count..waiting_count.min(Self::MAX_PENDING_PER_SERVICE) {
                self.request_permit(board, &service, out);
            }
            previous = Some(service);
        }
    }

    /// Requests one permit at an eligible target of `service` from a random peer that has a share of the target's
    /// limit. Does nothing if there is no such target or peer.
    fn request_permit(&mut self, board: &mut Blackboard, service: &ServiceName, out: &mut Vec<Action>) {
        let draw = board.random.f64();
        let versions = board.versions.versions_to_try(&board.document.content, service, draw);
        let Some(version) = versions.first() else { return };
        let targets = board.targets.of_version(service, version);
        if targets.is_empty() {
            return;
        }
        let first_index = board.random.clone().usize(0..targets.len());
        let mut rotated = targets[first_index..].iter().chain(&targets[..first_index]);
        let Some(target) = rotated.find(|target| picker::is_eligible(board, target)).cloned() else { return };
        let peers: Vec<NodeName> = peers_with_share(board, &target);
        if peers.is_empty() {
            return;
        }
        let peer = peers[board.random.usize(0..peers.len())].clone();
        self.last_ticket += 1;
        let request = PermitRequest { target: target.clone(), service: service.clone(), sent_at: board.now };
        self.pending_requests.insert(self.last_ticket, request);
        let message = PeerMessage::PermitWanted { target, ticket: self.last_ticket };
        out.push(Action::SendToPeer(peer, Box::new(message)));
    }

    fn handle_peer_message(
        &mut self,
        board: &mut Blackboard,
        from: &NodeName,
        message: &PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::PermitWanted { target, ticket } => handle_permit_request(board, from, target, *ticket, out),
            PeerMessage::PermitLent { ticket, start_within_ms, .. } => {
                let Some(request) = self.pending_requests.remove(ticket) else { return };
                let Some(start_within_ms) = start_within_ms else { return };
                let start_within = Duration::from_millis(u64::from(*start_within_ms));
                board.permits.add_borrowed(&request.target, from, *ticket, request.sent_at, start_within);
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
            Event::Peer(from, message) => self.handle_peer_message(board, from, message, out),
            Event::Tick => {
                if self.expiry_timer.is_due(Self::EXPIRY_INTERVAL, board.now) {
                    return_unused_permits(board, out);
                }
                self.request_permits(board, out);
            }
            _ => {}
        }
    }
}

/// Ends expired loans, and returns borrowed permits that were not used in time to their lenders.
fn return_unused_permits(board: &mut Blackboard, out: &mut Vec<Action>) {
    for unused in board.permits.expire_permits(board.now) {
        let message = PeerMessage::PermitReturned { ticket: unused.ticket, target: unused.target };
        out.push(Action::SendToPeer(unused.lender, Box::new(message)));
    }
}

/// Returns the live peers whose seats carry a share of the target's limit.
fn peers_with_share(board: &Blackboard, target: &TargetName) -> Vec<NodeName> {
    let Some(view) = board.targets.get(target) else { return Vec::new() };
    let limit = view.limit_at(&board.tuning, board.now);
    let has_share = |beat: &Heartbeat| board.permits.share_of(target, &beat.seats, limit) > 0;
    board.members.alive().filter(|(_, beat)| has_share(beat)).map(|(node, _)| node.clone()).collect()
}

/// Answers a peer's request for a permit. Lends one if the target is eligible, this node has a free permit for it and
/// no request waits for its service at this node.
fn handle_permit_request(
    board: &mut Blackboard,
    borrower: &NodeName,
    target: &TargetName,
    ticket: u64,
    out: &mut Vec<Action>,
) {
    let borrowed_permit_timeout = board.tuning.borrowed_permit_timeout;
    let expires_at =
        board.now + borrowed_permit_timeout + board.tuning.max_call_duration + LendingController::LOAN_MARGIN;
    let limit = board.targets.get(target).map_or(0, |view| view.limit_at(&board.tuning, board.now));
    let service = board.document.content.targets.get(target).map(|spec| spec.service.clone());
    let is_needed_here = service.is_none_or(|service| !board.queues.queue_mut(&service).is_empty());
    let is_lent = !is_needed_here
        && picker::is_eligible(board, target)
        && board.permits.lend(target, limit, borrower, ticket, expires_at);
    let start_within_ms = is_lent.then_some(borrowed_permit_timeout.as_millis() as u32);
    let message = PeerMessage::PermitLent { ticket, target: target.clone(), start_within_ms };
    out.push(Action::SendToPeer(borrower.clone(), Box::new(message)));
}
