//! Ending a request: callers told, attempts stopped, permits given back, the end recorded.

use crate::action::{Action, AnswerPart};
use crate::blackboard::Blackboard;
use crate::message::PeerMessage;
use crate::names::{AttemptId, RequestKey};
use crate::outcome::{FinalAnswer, Outcome, RefusalKind};
use crate::permits::Permit;
use crate::requests::{AttemptRecord, Settlement};

/// Ends a request with `answer`; does nothing if it has ended before.
pub fn conclude(board: &mut Blackboard, key: &RequestKey, answer: &FinalAnswer, out: &mut Vec<Action>) {
    let running = board.requests.get(key).map(|record| record.running.clone()).unwrap_or_default();
    for attempt in running {
        out.push(Action::Cancel(attempt));
        end_attempt(board, attempt, out);
    }
    let Some(record) = board.requests.end(key, answer, board.now) else { return };
    board.queues.of(record.service()).remove(record.priority, &record.waiting());
    count(board, answer, board.now <= record.deadline);
    if let Some(claim) = record.claim {
        let until = board.now + board.tuning.keep_ended;
        let settlement = Settlement { claim, content: record.content, answer: answer.clone(), until };
        board.requests.settlements.insert(key.clone(), settlement);
    }
    for call in record.callers {
        out.push(Action::Answer(call, AnswerPart::Final(Box::new(answer.clone()))));
    }
}

/// Ends a request that got no answer: *not run* if that is certain, *unknown* otherwise.
pub fn fail(board: &mut Blackboard, key: &RequestKey, refusal: RefusalKind, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    let outcome = if record.sent || !record.running.is_empty() { Outcome::Unknown } else { Outcome::NotRun };
    let mut answer = FinalAnswer::refused(outcome, refusal);
    answer.charges.clone_from(&record.charges);
    conclude(board, key, &answer, out);
}

/// Ends an attempt and gives its permit back.
pub fn end_attempt(board: &mut Blackboard, id: AttemptId, out: &mut Vec<Action>) -> Option<AttemptRecord> {
    let attempt = board.requests.end_attempt(id)?;
    board.permits.give_back(&attempt.target, &attempt.permit);
    if let Permit::Borrowed { lender, ticket } = &attempt.permit {
        let message = PeerMessage::PermitReturned { ticket: *ticket, target: attempt.target.clone() };
        out.push(Action::Tell(lender.clone(), Box::new(message)));
    }
    Some(attempt)
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
