//! End of a request: answers its callers, cancels its attempts, releases their permits and records the outcome.

use crate::action::{Action, AnswerPart};
use crate::blackboard::Blackboard;
use crate::burn::scoring;
use crate::counting;
use crate::message::PeerMessage;
use crate::names::{AttemptId, RequestKey, TargetName};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::permits::Permit;
use crate::requests::{AttemptRecord, RequestState, Settlement};

/// Ends a request with `answer`: cancels its running attempts, counts the outcome, schedules its record if the request
/// has a claim, and answers all callers. Does nothing if the request has already ended.
pub fn end_request(board: &mut Blackboard, key: &RequestKey, answer: &FinalAnswer, out: &mut Vec<Action>) {
    let running = board.requests.get(key).map(|record| record.running.clone()).unwrap_or_default();
    for attempt in running {
        let is_late = board.requests.get(key).is_some_and(|record| board.now >= record.deadline);
        let Some(stopped) = cancel_attempt(board, attempt, out) else { continue };
        counting::count_stopped(board, &stopped);
        if is_late {
            scoring::count_attempt(board, &stopped, false);
        }
    }
    let Some(record) = board.requests.end(key, answer, board.now) else { return };
    board.queues.queue_mut(record.service()).remove(record.priority, &record.queue_entry());
    count_outcome(board, answer, board.now <= record.deadline);
    scoring::count_request(board, &record, answer);
    if let Some(claim) = record.claim {
        let retry_until = board.now + board.tuning.ended_ttl;
        // No attempt is sent before the claim is known to be written. In state `Claiming` nothing has run, so *not run*
        // is the outcome to record if the claim's row turns out to exist.
        let is_claim_pending = record.state == RequestState::Claiming;
        let not_run = || FinalAnswer::refused(Outcome::NotRun, RefusalKind::ClaimUnavailable);
        let answer = if is_claim_pending { not_run() } else { answer.clone() };
        let settlement = Settlement { claim, content: record.content, answer, retry_until };
        board.requests.settlements.insert(key.clone(), settlement);
        board.requests.untried_settlements.push(key.clone());
    }
    for call in record.callers {
        out.push(Action::Answer(call, AnswerPart::Final(Box::new(answer.clone()))));
    }
}

/// Ends a request with `refusal` and without a body: as *not run* if no target can have run any part of it, as
/// *unknown* otherwise.
pub fn fail(board: &mut Blackboard, key: &RequestKey, refusal: RefusalKind, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    if record.state == RequestState::Claiming && record.claim.is_some() {
        // Another node may hold the claim, and only the claim's row shows that.
        return end_request(board, key, &FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled), out);
    }
    let outcome = if record.may_have_run || !record.running.is_empty() { Outcome::Unknown } else { Outcome::NotRun };
    let mut answer = FinalAnswer::refused(outcome, refusal);
    answer.charges.clone_from(&record.charges);
    end_request(board, key, &answer, out);
}

/// Removes a running attempt that ended and releases its permit. Returns `None` if the attempt is not running.
pub fn end_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> Option<AttemptRecord> {
    let attempt = board.requests.end_attempt(id)?;
    release_permit(board, &attempt.target, &attempt.permit, out);
    Some(attempt)
}

/// Cancels a running attempt. The permit stays in use until the attempt is reported as ended or has certainly ended,
/// since its target may run it until then. Returns `None` if the attempt is not running.
pub fn cancel_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> Option<AttemptRecord> {
    let attempt = drain_attempt(board, id)?;
    out.push(Action::Cancel(id));
    Some(attempt)
}

/// Turns a running attempt into a draining one: this node no longer waits for the attempt, but its target may still run
/// it, so its permit stays in use. Returns `None` if the attempt is not running.
pub fn drain_attempt(board: &mut Blackboard, id: AttemptId) -> Option<AttemptRecord> {
    let attempt = board.requests.end_attempt(id)?;
    board.requests.start_draining(id, &attempt);
    Some(attempt)
}

/// Removes a draining attempt that ended and releases its permit. Returns whether there was such an attempt.
pub fn end_draining(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> bool {
    let Some(draining) = board.requests.end_draining(id) else { return false };
    release_permit(board, &draining.target, &draining.permit, out);
    true
}

/// Removes all draining attempts that have certainly ended, and releases their permits.
pub fn release_drained(board: &mut Blackboard, out: &mut Vec<Action>) {
    while let Some(id) = board.requests.next_drained(board.now) {
        end_draining(board, id, out);
    }
}

fn release_permit(board: &mut Blackboard, target: &TargetName, permit: &Permit, out: &mut Vec<Action>) {
    board.permits.return_permit(target, permit);
    if let Permit::Borrowed { lender, ticket } = permit {
        let message = PeerMessage::PermitReturned { ticket: *ticket, target: target.clone() };
        out.push(Action::SendToPeer(lender.clone(), Box::new(message)));
    }
}

fn count_outcome(board: &mut Blackboard, answer: &FinalAnswer, is_in_time: bool) {
    match answer.outcome {
        Outcome::Done => {
            board.counters.done += 1;
            board.counters.in_time += u64::from(is_in_time);
        }
        Outcome::NotRun => board.counters.not_run += 1,
        Outcome::Unknown => board.counters.unknown += 1,
    }
}
