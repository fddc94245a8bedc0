//! Claims of requests that must not run twice: written before the first byte leaves, settled after.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::clock::TickPace;
use crate::conclude;
use crate::controller::Controller;
use crate::event::Event;
use crate::message::PeerMessage;
use crate::names::{NodeName, RequestKey};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::requests::{RequestRecord, RequestState};
use crate::store::{ClaimRow, ClaimState, Row, RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// Claims, follows and settles.
#[derive(Debug, Default)]
pub struct ClaimController {
    follow: TickPace,
}

impl ClaimController {
    /// Interval of looks at requests that other nodes run.
    const FOLLOW_EVERY: Duration = Duration::from_millis(200);
}

impl Controller for ClaimController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Asked(ask) => start_claim(board, &ask.key, out),
            Event::Peer(from, message) => on_peer(board, from, message, out),
            Event::Tick => {
                if board.store.may_ask(board.now) && self.follow.is_due(Self::FOLLOW_EVERY, board.now) {
                    follow(board, out);
                }
                settle(board, out);
            }
            Event::Attempt(..) => settle_fresh(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::Claim(key) => on_claimed(board, key, reply, out),
            StorePurpose::ReadClaim(key) => on_read(board, key, reply, out),
            StorePurpose::Settle(key) => on_settled(board, key, reply),
            _ => {}
        }
    }
}

fn row_of(board: &Blackboard, record: &RequestRecord) -> Option<ClaimRow> {
    Some(ClaimRow {
        nonce: record.claim?.nonce,
        owner: board.identity.node.clone(),
        instance: board.identity.instance,
        content: record.content,
        state: ClaimState::Running,
    })
}

fn start_claim(board: &mut Blackboard, key: &RequestKey, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    let purpose = StorePurpose::Claim(key.clone());
    if record.state != RequestState::Claiming || board.store.is_open(&purpose) {
        return;
    }
    let Some(row) = row_of(board, record) else { return };
    let op = StoreOp::Write { key: RowKey::Claim(key.clone()), expected: None, value: RowValue::Claim(row) };
    board.store.send(purpose, op, &mut board.counters, out);
}

fn on_claimed(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply, out: &mut Vec<Action>) {
    match reply {
        StoreReply::Written(version) => claimed(board, key, *version),
        StoreReply::Conflict(Some(row)) => found(board, key, row, out),
        // The row went between the write and its answer, or the write may have been lost: look.
        StoreReply::Conflict(None) | StoreReply::Lost => {
            if let Some(claim) = board.requests.get_mut(key).and_then(|record| record.claim.as_mut()) {
                claim.doubtful = true;
            }
            read_claim(board, key, out);
        }
        StoreReply::NotSent | StoreReply::Read(_) => {
            // A claim that was never sent leaves nothing to settle.
            if let Some(record) = board.requests.get_mut(key) {
                record.claim = record.claim.filter(|claim| claim.doubtful);
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

fn on_read(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply, out: &mut Vec<Action>) {
    match reply {
        StoreReply::Read(Some(row)) => {
            found(board, key, row, out);
            found_for_settlement(board, key, row);
        }
        // A delayed write may still land: claiming again under the same nonce is safe either way.
        StoreReply::Read(None) => {
            start_claim(board, key, out);
            write_end(board, key, None, out);
        }
        _ => {
            let claiming = board.requests.get(key).is_some_and(|record| record.state == RequestState::Claiming);
            if claiming {
                conclude::fail(board, key, RefusalKind::ClaimUnavailable, out);
            }
        }
    }
}

fn claimed(board: &mut Blackboard, key: &RequestKey, version: RowVersion) {
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
    let (service, priority, waiting) = (record.service().clone(), record.priority, record.waiting());
    board.queues.of(&service).push(priority, waiting);
}

/// A row stands for the request: this node's own claim, an end, or another node's claim.
fn found(board: &mut Blackboard, key: &RequestKey, row: &Row, out: &mut Vec<Action>) {
    let RowValue::Claim(claim) = &row.value else { return };
    let Some(record) = board.requests.get_mut(key) else { return };
    if record.state != RequestState::Claiming && record.state != RequestState::Following {
        return;
    }
    let is_own = record.claim.is_some_and(|hold| hold.nonce == claim.nonce);
    if is_own && claim.state == ClaimState::Running {
        claimed(board, key, row.version);
        return;
    }
    // The claim of this node was refused: from here on there is nothing of its own to settle.
    record.claim = None;
    if record.content != claim.content {
        conclude::conclude(board, key, &FinalAnswer::refused(Outcome::NotRun, RefusalKind::IdReused), out);
        return;
    }
    if let ClaimState::Ended(answer) = &claim.state {
        conclude::conclude(board, key, answer, out);
        return;
    }
    record.state = RequestState::Following;
    ask_owner(board, key, &claim.owner.clone(), claim, out);
}

fn ask_owner(board: &mut Blackboard, key: &RequestKey, owner: &NodeName, claim: &ClaimRow, out: &mut Vec<Action>) {
    let known =
        board.members.get(owner).and_then(|member| member.heartbeat.as_ref().map(|beat| (member.alive, beat.instance)));
    if known == Some((true, claim.instance)) {
        out.push(Action::Tell(owner.clone(), Box::new(PeerMessage::OutcomeWanted(key.clone()))));
        return;
    }
    if let Some(member) = board.members.get(owner).filter(|member| !member.linked) {
        // In a large environment not every peer is connected: this one is, from now on.
        out.push(Action::Connect(owner.clone(), member.peer_address));
        out.push(Action::Tell(owner.clone(), Box::new(PeerMessage::OutcomeWanted(key.clone()))));
        board.members.link(owner);
        return;
    }
    let replaced = known.is_some_and(|(_, instance)| instance != claim.instance);
    if replaced || known.is_none() || *owner == board.identity.node {
        conclude::conclude(board, key, &FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled), out);
    }
}

/// Looks again at requests that other nodes run.
fn follow(board: &mut Blackboard, out: &mut Vec<Action>) {
    let following: Vec<RequestKey> = board
        .requests
        .iter()
        .filter(|record| record.state == RequestState::Following)
        .map(|record| record.key.clone())
        .collect();
    for key in following {
        read_claim(board, &key, out);
    }
}

fn on_peer(board: &mut Blackboard, from: &NodeName, message: &PeerMessage, out: &mut Vec<Action>) {
    match message {
        PeerMessage::OutcomeWanted(key) => {
            let running = board.requests.get(key).is_some();
            // Under the same id other content may have run here without a claim.
            let ended = board.requests.ended(key).filter(|ended| ended.under_claim);
            let answer = ended.map(|ended| Box::new(ended.answer.clone()));
            let told = PeerMessage::OutcomeTold { key: key.clone(), running, answer };
            out.push(Action::Tell(from.clone(), Box::new(told)));
        }
        PeerMessage::OutcomeTold { key, answer: Some(answer), .. } => {
            let following = board.requests.get(key).is_some_and(|record| record.state == RequestState::Following);
            if following {
                conclude::conclude(board, key, answer, out);
            }
        }
        _ => {}
    }
}

/// Records ends that are not known to be recorded.
fn settle(board: &mut Blackboard, out: &mut Vec<Action>) {
    let now = board.now;
    board.requests.settlements.retain(|_, settlement| settlement.until > now);
    if !board.store.may_ask(now) {
        return;
    }
    board.requests.fresh_settlements.clear();
    let keys: Vec<RequestKey> = board.requests.settlements.keys().cloned().collect();
    for key in keys {
        settle_one(board, &key, out);
    }
}

/// Records the ends of requests that ended just now, without a look at the others.
fn settle_fresh(board: &mut Blackboard, out: &mut Vec<Action>) {
    if !board.store.may_ask(board.now) {
        return;
    }
    while let Some(key) = board.requests.fresh_settlements.pop() {
        settle_one(board, &key, out);
    }
}

fn settle_one(board: &mut Blackboard, key: &RequestKey, out: &mut Vec<Action>) {
    let purpose = StorePurpose::Settle(key.clone());
    if board.store.is_open(&purpose) || board.store.is_open(&StorePurpose::Claim(key.clone())) {
        return;
    }
    let Some(settlement) = board.requests.settlements.get(key) else { return };
    match settlement.claim.version {
        Some(version) => write_end(board, key, Some(version), out),
        None => read_claim(board, key, out),
    }
}

/// Records how a claimed request ended; without a row, so that a claim that is still on its way cannot land.
fn write_end(board: &mut Blackboard, key: &RequestKey, expected: Option<RowVersion>, out: &mut Vec<Action>) {
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

fn found_for_settlement(board: &mut Blackboard, key: &RequestKey, row: &Row) {
    let RowValue::Claim(claim) = &row.value else { return };
    let Some(settlement) = board.requests.settlements.get_mut(key) else { return };
    if claim.nonce == settlement.claim.nonce && claim.state == ClaimState::Running {
        settlement.claim.version = Some(row.version);
    } else {
        board.requests.settlements.remove(key);
    }
}

fn on_settled(board: &mut Blackboard, key: &RequestKey, reply: &StoreReply) {
    match reply {
        StoreReply::Written(_) => {
            board.requests.settlements.remove(key);
        }
        // An earlier try took effect, or a claim that was on its way: the row tells.
        StoreReply::Conflict(Some(row)) => found_for_settlement(board, key, row),
        _ => {}
    }
}
