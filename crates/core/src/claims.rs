//! Claims of requests that must not run twice. A claim is a row of the table service that gives one node the right to
//! run the request. It is written before the first byte of an attempt leaves. Afterwards the outcome is recorded in the
//! row, which settles the claim.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::IntervalTimer;
use crate::conclude;
use crate::controller::Controller;
use crate::event::Event;
use crate::message::PeerMessage;
use crate::names::{NodeName, RequestKey};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{RequestRecord, RequestState};
use crate::store::{ClaimRow, ClaimState, Row, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// Writes claims, polls the claims of other nodes and records outcomes.
#[derive(Debug, Default)]
pub struct ClaimController {
    follow_timer: IntervalTimer,
}

impl ClaimController {
    /// Interval at which the claim rows of requests that other nodes run are read for their outcomes.
    const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);
}

impl Controller for ClaimController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Asked(request) => write_claim(board, &request.key, out),
            Event::Peer(from, message) => handle_peer(board, from, message, out),
            Event::Tick => {
                if board.store.is_backoff_over(board.now) && self.follow_timer.is_due(Self::FOLLOW_INTERVAL, board.now)
                {
                    poll_followed(board, out);
                }
                settle_all(board, out);
            }
            Event::Attempt(..) => settle_untried(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::Claim(key) => handle_claim_reply(board, key, reply, out),
            StorePurpose::ReadClaim(key) => handle_read_reply(board, key, reply, out),
            StorePurpose::Settle(key) => handle_settle_reply(board, key, reply),
            _ => {}
        }
    }
}

fn build_claim_row(board: &Blackboard, record: &RequestRecord) -> Option<ClaimRow> {
    Some(ClaimRow {
        nonce: record.claim?.nonce,
        owner: board.identity.node.clone(),
        instance: board.identity.instance,
        content: record.content,
        state: ClaimState::Running,
    })
}

fn write_claim(board: &mut Blackboard, key: &RequestKey, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    let purpose = StorePurpose::Claim(key.clone());
    if record.state != RequestState::Claiming || board.store.is_open(&purpose) {
        return;
    }
    let Some(row) = build_claim_row(board, record) else { return };
    let op = StoreOp::Write { key: RowKey::Claim(key.clone()), expected: None, value: RowValue::Claim(row) };
    board.store.send(purpose, op, &mut board.counters, out);
}

fn handle_claim_reply(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply, out: &mut Vec<Action>) {
    match reply {
        StoreReply::Written(version) => handle_claim_written(board, key, *version),
        StoreReply::Conflict(Some(row)) => handle_claim_row(board, key, row, out),
        // The row was removed between the write and its reply, or the write may have been lost: read the row.
        StoreReply::Conflict(None) | StoreReply::Lost => {
            if let Some(claim) = board.requests.get_mut(key).and_then(|record| record.claim.as_mut()) {
                claim.may_be_written = true;
            }
            read_claim(board, key, out);
        }
        StoreReply::NotSent | StoreReply::Read(_) => {
            // A claim whose write was never sent has no row, so there is nothing to settle.
            if let Some(record) = board.requests.get_mut(key) {
                record.claim = record.claim.filter(|claim| claim.may_be_written);
            }
            conclude::fail(board, key, RefusalKind::ClaimUnavailable, out);
        }
    }
}

fn read_claim(board: &mut Blackboard, key: &RequestKey, out: &mut Vec<Action>) {
    let purpose = StorePurpose::ReadClaim(key.clone());
    if !board.store.is_open(&purpose) {
        let op = StoreOp::Read { key: RowKey::Claim(key.clone()) };
        board.store.send(purpose, op, &mut board.counters, out);
    }
}

fn handle_read_reply(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply, out: &mut Vec<Action>) {
    match reply {
        StoreReply::Read(Some(row)) => {
            handle_claim_row(board, key, row, out);
            update_settlement(board, key, row);
        }
        // A delayed write may still take effect. Claiming again under the same nonce is safe in either case.
        StoreReply::Read(None) => {
            write_claim(board, key, out);
            write_outcome(board, key, None, out);
        }
        _ => {
            let is_claiming = board.requests.get(key).is_some_and(|record| record.state == RequestState::Claiming);
            if is_claiming {
                conclude::fail(board, key, RefusalKind::ClaimUnavailable, out);
            }
        }
    }
}

fn handle_claim_written(board: &mut Blackboard, key: &RequestKey, version: RowVersion) {
    if let Some(settlement) = board.requests.settlements.get_mut(key) {
        settlement.claim.version = Some(version);
    }
    let Some(record) = board.requests.get_mut(key) else { return };
    if record.state != RequestState::Claiming {
        return;
    }
    if let Some(claim) = &mut record.claim {
        claim.version = Some(version);
    }
    record.state = RequestState::Queued;
    let (service, priority, request) = (record.service().clone(), record.priority, record.queue_entry());
    board.queues.queue_mut(&service).push(priority, request);
}

/// Handles the row found for a request: this node's own claim, a recorded outcome, or the claim of another node.
fn handle_claim_row(board: &mut Blackboard, key: &RequestKey, row: &Row, out: &mut Vec<Action>) {
    let RowValue::Claim(claim) = &row.value else { return };
    let Some(record) = board.requests.get_mut(key) else { return };
    if record.state != RequestState::Claiming && record.state != RequestState::Following {
        return;
    }
    let is_own = record.claim.is_some_and(|held| held.nonce == claim.nonce);
    if is_own && claim.state == ClaimState::Running {
        handle_claim_written(board, key, row.version);
        return;
    }
    // The row holds another claim or an outcome, so this node has nothing to settle.
    record.claim = None;
    if record.content != claim.content {
        conclude::end_request(board, key, &FinalAnswer::refused(Outcome::NotRun, RefusalKind::IdReused), out);
        return;
    }
    if let ClaimState::Ended(answer) = &claim.state {
        conclude::end_request(board, key, answer, out);
        return;
    }
    record.state = RequestState::Following;
    ask_owner(board, key, &claim.owner.clone(), claim, out);
}

/// Asks the owner of a claim for the outcome. Ends the request as *unknown* if the owner's instance has been replaced,
/// is not known, or was an earlier one of this node.
fn ask_owner(board: &mut Blackboard, key: &RequestKey, owner: &NodeName, claim: &ClaimRow, out: &mut Vec<Action>) {
    let known_instance = board
        .members
        .get(owner)
        .and_then(|member| member.heartbeat.as_ref().map(|heartbeat| (member.is_alive, heartbeat.instance)));
    if known_instance == Some((true, claim.instance)) {
        out.push(Action::SendToPeer(owner.clone(), Box::new(PeerMessage::OutcomeWanted(key.clone()))));
        return;
    }
    if let Some(member) = board.members.get(owner).filter(|member| !member.is_connected) {
        // Nodes of a large environment do not connect to every peer. This node connects to the owner and stays
        // connected.
        out.push(Action::Connect(owner.clone(), member.peer_address));
        out.push(Action::SendToPeer(owner.clone(), Box::new(PeerMessage::OutcomeWanted(key.clone()))));
        board.members.mark_connected(owner);
        return;
    }
    let is_replaced = known_instance.is_some_and(|(_, instance)| instance != claim.instance);
    if is_replaced || known_instance.is_none() || *owner == board.identity.node {
        conclude::end_request(board, key, &FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled), out);
    }
}

/// Reads the claim rows of the requests whose outcomes this node waits for.
fn poll_followed(board: &mut Blackboard, out: &mut Vec<Action>) {
    let followed: Vec<RequestKey> = board
        .requests
        .iter()
        .filter(|record| record.state == RequestState::Following)
        .map(|record| record.key.clone())
        .collect();
    for key in followed {
        read_claim(board, &key, out);
    }
}

fn handle_peer(board: &mut Blackboard, from: &NodeName, message: &PeerMessage, out: &mut Vec<Action>) {
    match message {
        PeerMessage::OutcomeWanted(key) => {
            let running = board.requests.get(key).is_some();
            // Without a claim, the ended request may have had other content under the same id.
            let ended = board.requests.ended_record(key).filter(|ended| ended.is_claim_written);
            let answer = ended.map(|ended| Box::new(ended.answer.clone()));
            let reply = PeerMessage::OutcomeTold { key: key.clone(), running, answer };
            out.push(Action::SendToPeer(from.clone(), Box::new(reply)));
        }
        PeerMessage::OutcomeTold { key, answer: Some(answer), .. } => {
            let is_following = board.requests.get(key).is_some_and(|record| record.state == RequestState::Following);
            if is_following {
                conclude::end_request(board, key, answer, out);
            }
        }
        _ => {}
    }
}

/// Drops settlements whose time has run out, and tries to record the outcomes of all others.
fn settle_all(board: &mut Blackboard, out: &mut Vec<Action>) {
    let now = board.now;
    board.requests.settlements.retain(|_, settlement| settlement.retry_until > now);
    if !board.store.is_backoff_over(now) {
        return;
    }
    board.requests.untried_settlements.clear();
    let keys: Vec<RequestKey> = board.requests.settlements.keys().cloned().collect();
    for key in keys {
        settle_request(board, &key, out);
    }
}

/// Records the outcomes of requests that just ended, without a pass over all settlements.
fn settle_untried(board: &mut Blackboard, out: &mut Vec<Action>) {
    if !board.store.is_backoff_over(board.now) {
        return;
    }
    while let Some(key) = board.requests.untried_settlements.pop() {
        settle_request(board, &key, out);
    }
}

fn settle_request(board: &mut Blackboard, key: &RequestKey, out: &mut Vec<Action>) {
    let purpose = StorePurpose::Settle(key.clone());
    if board.store.is_open(&purpose) || board.store.is_open(&StorePurpose::Claim(key.clone())) {
        return;
    }
    let Some(settlement) = board.requests.settlements.get(key) else { return };
    match settlement.claim.version {
        Some(version) => write_outcome(board, key, Some(version), out),
        None => read_claim(board, key, out),
    }
}

/// Records the outcome of a claimed request. If no row exists, the outcome is written as a new row, so that a delayed
/// write of the claim cannot take effect.
fn write_outcome(board: &mut Blackboard, key: &RequestKey, expected: Option<RowVersion>, out: &mut Vec<Action>) {
    let purpose = StorePurpose::Settle(key.clone());
    let Some(settlement) = board.requests.settlements.get(key) else { return };
    if board.store.is_open(&purpose) {
        return;
    }
    let row = ClaimRow {
        nonce: settlement.claim.nonce,
        owner: board.identity.node.clone(),
        instance: board.identity.instance,
        content: settlement.content,
        state: ClaimState::Ended(Box::new(settlement.answer.clone())),
    };
    let op = StoreOp::Write { key: RowKey::Claim(key.clone()), expected, value: RowValue::Claim(row) };
    board.store.send(purpose, op, &mut board.counters, out);
}

fn update_settlement(board: &mut Blackboard, key: &RequestKey, row: &Row) {
    let RowValue::Claim(claim) = &row.value else { return };
    let Some(settlement) = board.requests.settlements.get_mut(key) else { return };
    if claim.nonce == settlement.claim.nonce && claim.state == ClaimState::Running {
        settlement.claim.version = Some(row.version);
    } else {
        board.requests.settlements.remove(key);
    }
}

fn handle_settle_reply(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply) {
    match reply {
        StoreReply::Written(_) => {
            board.requests.settlements.remove(key);
        }
        // An earlier write of the outcome or a delayed write of the claim took effect. The row shows which one.
        StoreReply::Conflict(Some(row)) => update_settlement(board, key, row),
        _ => {}
    }
}
