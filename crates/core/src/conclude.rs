//! Ending a request: callers told, attempts stopped, permits given back, the end recorded.

use crate::action::{Action, AnswerPart};
use crate::blackboard::Blackboard;
use crate::burn::scoring;
use crate::counting;
use crate::message::PeerMessage;
use crate::names::{AttemptId, RequestKey, TargetName};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::permits::Permit;
use crate::requests::{AttemptRecord, RequestState, Settlement};

/// Ends a request with `answer`; does nothing if it has ended before.
pub fn conclude(board: &mut Blackboard, key: &RequestKey, answer: &FinalAnswer, out: &mut Vec<Action>) {
    let running = board.requests.get(key).map(|record| record.running.clone()).unwrap_or_default();
    for attempt in running {
        let late = board.requests.get(key).is_some_and(|record| board.now >= record.deadline);
        let Some(stopped) = cancel_attempt(board, attempt, out) else { continue };
        counting::count_stopped(board, &stopped);
        if late {
            scoring::count_attempt(board, &stopped, false);
        }
    }
    let Some(record) = board.requests.end(key, answer, board.now) else { return };
    board.queues.of(record.service()).remove(record.priority, &record.waiting());
    count(board, answer, board.now <= record.deadline);
    scoring::count_request(board, &record, answer);
    if let Some(claim) = record.claim {
        let until = board.now + board.tuning.keep_ended;
        // Nothing is sent before a claim stands: should this one be found to, the end is certain.
        let unsure = record.state == RequestState::Claiming;
        let certain = || FinalAnswer::refused(Outcome::NotRun, RefusalKind::ClaimUnavailable);
        let answer = if unsure { certain() } else { answer.clone() };
        let settlement = Settlement { claim, content: record.content, answer, until };
        board.requests.settlements.insert(key.clone(), settlement);
        board.requests.fresh_settlements.push(key.clone());
    }
    for call in record.callers {
        out.push(Action::Answer(call, AnswerPart::Final(Box::new(answer.clone()))));
    }
}

/// Ends a request that got no answer: *not run* if that is certain, *unknown* otherwise.
pub fn fail(board: &mut Blackboard, key: &RequestKey, refusal: RefusalKind, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    if record.state == RequestState::Claiming && record.claim.is_some() {
        // Another node may hold the claim: only the row could tell.
        return conclude(board, key, &FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled), out);
    }
    let outcome = if record.sent || !record.running.is_empty() { Outcome::Unknown } else { Outcome::NotRun };
    let mut answer = FinalAnswer::refused(outcome, refusal);
    answer.charges.clone_from(&record.charges);
    conclude(board, key, &answer, out);
}

/// Ends an attempt and gives its permit back.
pub fn end_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> Option<AttemptRecord> {
    let attempt = board.requests.end_attempt(id)?;
    give_back(board, &attempt.target, &attempt.permit, out);
    Some(attempt)
}

/// Stops an attempt. Its permit stays in use until the edge says that it ended, or it must have:
/// before that its target may still be running it.
pub fn cancel_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> Option<AttemptRecord> {
    let attempt = drain_attempt(board, id)?;
    out.push(Action::Cancel(id));
    Some(attempt)
}

/// Ends an attempt of which nothing more is heard, but that its target may still be running.
pub fn drain_attempt(board: &mut Blackboard, id: AttemptId) -> Option<AttemptRecord> {
    let attempt = board.requests.end_attempt(id)?;
    board.requests.drain(id, &attempt);
    Some(attempt)
}

/// Gives the permit of a draining attempt back; tells whether there was one.
pub fn end_draining(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> bool {
    let Some(draining) = board.requests.end_draining(id) else { return false };
    give_back(board, &draining.target, &draining.permit, out);
    true
}

/// Gives back the permits of draining attempts that must have ended.
pub fn end_drained(board: &mut Blackboard, out: &mut Vec<Action>) {
    while let Some(id) = board.requests.drained(board.now) {
        end_draining(board, id, out);
    }
}

fn give_back(board: &mut Blackboard, target: &TargetName, permit: &Permit, out: &mut Vec<Action>) {
    board.permits.give_back(target, permit);
    if let Permit::Borrowed { lender, ticket } = permit {
        let message = PeerMessage::PermitReturned { ticket: *ticket, target: target.clone() };
        out.push(Action::Tell(lender.clone(), Box::new(message)));
    }
}

fn count(board: &mut Blackboard, answer: &FinalAnswer, in_time: bool) {
    match answer.outcome {
        Outcome::Done => {
            board.counters.done += 1;
            board.counters.in_time += u64::from(in_time);
        }
        Outcome::NotRun => board.counters.not_run += 1,
        Outcome::Unknown => board.counters.unknown += 1,
    }
}
