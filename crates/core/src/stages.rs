//! Stages of a request: what attempts bring is accepted once, in order, and moves the request on.

use std::sync::Arc;
use std::time::Duration;

use crate::action::{Action, AnswerPart};
use crate::blackboard::Blackboard;
use crate::burn::scoring;
use crate::clock::TickPace;
use crate::conclude;
use crate::controller::Controller;
use crate::counting;
use crate::event::{AttemptEvent, Event, FailureKind};
use crate::harmful;
use crate::hedges;
use crate::intake::is_stream;
use crate::message::PeerMessage;
use crate::names::{AttemptId, Fingerprint, NodeName, RequestKey, TargetName};
use crate::outcome::{ChargeLine, FinalAnswer, LoadReport, Outcome, RefusalKind, Usage};
use crate::requests::{AttemptRecord, RequestState};
use crate::retries;

/// Moves requests from stage to stage.
#[derive(Debug, Default)]
pub struct StageController {
    cooling: TickPace,
}

impl StageController {
    /// Interval at which idle targets are looked for.
    const COOL_EVERY: Duration = Duration::from_millis(500);
}

impl Controller for StageController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Attempt(id, AttemptEvent::Token { index, text }) => on_token(board, *id, *index, text, out),
            Event::Attempt(id, AttemptEvent::Finished { body, usage, report }) => {
                on_finished(board, *id, body, *usage, report, out);
            }
            Event::Attempt(id, AttemptEvent::Failed { kind, sent }) => on_failed(board, *id, *kind, *sent, out),
            Event::Reported(target, report) => on_report(board, target, report, out),
            Event::Cached(target, report) => board.prefixes.learn_report(target, report, board.now),
            Event::Peer(from, message) => on_peer(board, from, message),
            Event::Tick => {
                conclude::end_drained(board, out);
                if self.cooling.is_due(Self::COOL_EVERY, board.now) {
                    board.targets.cool_stale(&board.tuning, board.now);
                }
            }
            _ => {}
        }
    }
}

fn on_token(board: &mut Blackboard, id: AttemptId, index: u32, text: &Arc<str>, out: &mut Vec<Action>) {
    let now = board.now;
    let Some(progress) = board.requests.progress(id, board.tuning.ramp_step, now) else {
        board.counters.stray_results += 1;
        return;
    };
    if progress.is_first {
        // From here on the shorter bound between tokens holds.
        board.watches.set(id, now + board.tuning.stream_silence);
    }
    if let Some((target, started)) = &progress.flowing
        && let Some(view) = board.targets.get_mut(target)
        && view.warmth.learn_flowing(*started, &board.tuning, now)
    {
        board.permits.note_raised(target);
    }
    let record = progress.record;
    let expected = record.tokens.len() as u32;
    if index < expected {
        board.counters.stray_results += 1;
        return;
    }
    if index > expected {
        if let Some(attempt) = conclude::cancel_attempt(board, id, out) {
            failed(board, &attempt, FailureKind::Malformed, true, out);
        }
        return;
    }
    record.tokens.push(text.clone());
    if record.at_last_stage() {
        for call in &record.callers {
            out.push(Action::Answer(*call, AnswerPart::Token { index, text: text.clone() }));
        }
    }
}

fn on_finished(
    board: &mut Blackboard,
    id: AttemptId,
    body: &Arc<str>,
    usage: Usage,
    report: &LoadReport,
    out: &mut Vec<Action>,
) {
    let Some(attempt) = conclude::end_attempt(board, id, out) else {
        conclude::end_draining(board, id, out);
        board.counters.stray_results += 1;
        return;
    };
    if !is_whole(board, &attempt, body) {
        failed(board, &attempt, FailureKind::Malformed, true, out);
        return;
    }
    scoring::count_attempt(board, &attempt, true);
    hedges::stop_losers(board, &attempt, out);
    learn_success(board, &attempt, report, out);
    let charge = charge_of(&attempt, usage);
    board.counters.charges += 1;
    out.push(Action::Charge(Box::new(charge.clone())));
    let document = board.document.clone();
    let Some(record) = board.requests.get_mut(&attempt.key) else { return };
    record.charges.push(charge);
    let stream = is_stream(&document.content, record.service());
    let whole = if stream { Arc::from(record.tokens.concat()) } else { body.clone() };
    if record.at_last_stage() {
        let charges = record.charges.clone();
        let answer = FinalAnswer { outcome: Outcome::Done, refusal: None, body: whole, charges };
        let content = record.content;
        if board.harmful.acquit(content) {
            harmful::spread(board, content, out);
        }
        conclude::conclude(board, &attempt.key, &answer, out);
        return;
    }
    board.requests.next_stage(&attempt.key, whole);
    requeue(board, &attempt.key);
}

/// Whether the tokens of a stream that came are all that its attempt made.
fn is_whole(board: &Blackboard, attempt: &AttemptRecord, body: &Arc<str>) -> bool {
    let Some(record) = board.requests.get(&attempt.key) else { return true };
    let own = record.tokens.get(attempt.resume_from as usize..).unwrap_or_default();
    !attempt.streams || own.concat() == **body
}

fn charge_of(attempt: &AttemptRecord, usage: Usage) -> ChargeLine {
    ChargeLine {
        key: attempt.key.clone(),
        stage: attempt.stage,
        attempt: attempt.number,
        service: attempt.service.clone(),
        target: attempt.target.clone(),
        version: attempt.version.clone(),
        usage,
    }
}

/// Queues a request at the stage where it stands.
pub(crate) fn requeue(board: &mut Blackboard, key: &RequestKey) {
    let Some(record) = board.requests.get_mut(key) else { return };
    record.state = RequestState::Queued;
    let (service, priority, waiting) = (record.service().clone(), record.priority, record.waiting());
    board.queues.of(&service).push(priority, waiting);
}

fn learn_success(board: &mut Blackboard, attempt: &AttemptRecord, report: &LoadReport, out: &mut Vec<Action>) {
    let now = board.now;
    on_report(board, &attempt.target, report, out);
    board.stage_times.learn(&attempt.service, now.since(attempt.started));
    let view = board.targets.get_mut(&attempt.target);
    let cooled = view.is_some_and(|view| {
        view.learn_time(now.since(attempt.started));
        view.learn_success(attempt.served(now), &board.tuning, now)
    });
    if cooled {
        tell_cold(board, &attempt.target, out);
    }
    counting::count_success(board, attempt, report);
}

fn on_failed(board: &mut Blackboard, id: AttemptId, kind: FailureKind, sent: bool, out: &mut Vec<Action>) {
    // Behind a silent or broken connection the target may be running it still.
    let uncertain = sent && matches!(kind, FailureKind::Silent | FailureKind::Broken);
    let ended = if uncertain { conclude::drain_attempt(board, id) } else { conclude::end_attempt(board, id, out) };
    if let Some(attempt) = ended {
        failed(board, &attempt, kind, sent, out);
        return;
    }
    // The end of an attempt that was given up before: nobody waits for it, but its permit is free now.
    if kind == FailureKind::Silent || !conclude::end_draining(board, id, out) {
        board.counters.stray_results += 1;
    }
}

/// Gives an attempt up of which nothing comes any more; its request goes on elsewhere.
pub(crate) fn give_up(board: &mut Blackboard, id: AttemptId, kind: FailureKind, out: &mut Vec<Action>) {
    if let Some(attempt) = conclude::cancel_attempt(board, id, out) {
        board.stage_times.learn(&attempt.service, board.now.since(attempt.started));
        failed(board, &attempt, kind, true, out);
    }
}

fn failed(board: &mut Blackboard, attempt: &AttemptRecord, kind: FailureKind, sent: bool, out: &mut Vec<Action>) {
    if kind != FailureKind::Rejected {
        scoring::count_attempt(board, attempt, false);
    }
    learn_failure(board, attempt, kind, sent, out);
    let Some(record) = board.requests.get_mut(&attempt.key) else { return };
    let ran = sent && !matches!(kind, FailureKind::Full | FailureKind::Rejected);
    record.sent |= ran;
    record.failed_at.insert(attempt.target.clone());
    if kind == FailureKind::Rejected {
        conclude::fail(board, &attempt.key, RefusalKind::Rejected, out);
        return;
    }
    if record.claim.is_some() && record.sent {
        conclude::fail(board, &attempt.key, RefusalKind::Unsettled, out);
        return;
    }
    if !record.running.is_empty() {
        // The other one of a hedge goes on.
        return;
    }
    retry(board, &attempt.key, record_content(board, &attempt.key), ran, out);
}

fn record_content(board: &Blackboard, key: &RequestKey) -> Option<Fingerprint> {
    board.requests.get(key).map(|record| record.content)
}

fn retry(board: &mut Blackboard, key: &RequestKey, content: Option<Fingerprint>, costs: bool, out: &mut Vec<Action>) {
    let Some(record) = board.requests.get(key) else { return };
    if content.is_some_and(|content| board.harmful.downed(content) >= board.tuning.harmful_after) {
        board.counters.harmful_refused += 1;
        conclude::fail(board, key, RefusalKind::Harmful, out);
        return;
    }
    if record.stage_attempts >= board.tuning.most_attempts {
        conclude::fail(board, key, RefusalKind::AttemptsFailed, out);
        return;
    }
    if costs && !board.budget.spend() {
        board.counters.retries_denied += 1;
        conclude::fail(board, key, RefusalKind::AttemptsFailed, out);
        return;
    }
    board.counters.retries += 1;
    retry_later(board, key, costs);
}

/// Queues a request again: at once after a first failure, as another target takes it, later with delay.
fn retry_later(board: &mut Blackboard, key: &RequestKey, ran: bool) {
    let Some(attempts) = board.requests.get(key).map(|record| record.stage_attempts) else { return };
    if ran && attempts < 2 {
        return requeue(board, key);
    }
    let at = board.now + retries::delay(board, attempts);
    if let Some(record) = board.requests.get_mut(key) {
        record.state = RequestState::Delayed;
        board.retries.set(key.clone(), at);
    }
}

fn learn_failure(
    board: &mut Blackboard,
    attempt: &AttemptRecord,
    kind: FailureKind,
    sent: bool,
    out: &mut Vec<Action>,
) {
    let now = board.now;
    let turned_cold = board.targets.get_mut(&attempt.target).is_some_and(|view| view.learn_failure(kind, now));
    if turned_cold {
        tell_cold(board, &attempt.target, out);
    }
    if sent && kind == FailureKind::Broken {
        note_downed(board, attempt, out);
    } else if matches!(kind, FailureKind::Faulted | FailureKind::Malformed | FailureKind::Silent) {
        counting::count_fault(board, attempt);
    }
}

/// A target broke off while it ran this content: that may be the content's doing.
fn note_downed(board: &mut Blackboard, attempt: &AttemptRecord, out: &mut Vec<Action>) {
    let Some(content) = record_content(board, &attempt.key) else { return };
    counting::count_crash(board, attempt, board.harmful.downed(content) == 0);
    if !board.harmful.note(content, attempt.target.clone()) {
        return;
    }
    harmful::spread(board, content, out);
}

fn on_report(board: &mut Blackboard, target: &TargetName, report: &LoadReport, out: &mut Vec<Action>) {
    let now = board.now;
    let restarted = board.targets.get_mut(target).is_some_and(|view| view.learn_report(report, now));
    if restarted {
        board.prefixes.forget_target(target, now);
        tell_cold(board, target, out);
    }
}

fn tell_cold(board: &Blackboard, target: &TargetName, out: &mut Vec<Action>) {
    let Some(view) = board.targets.get(target) else { return };
    for (node, _) in board.members.alive() {
        let message = PeerMessage::TargetCold { target: target.clone(), instance: view.warmth.instance() };
        out.push(Action::Tell(node.clone(), Box::new(message)));
    }
}

fn on_peer(board: &mut Blackboard, _from: &NodeName, message: &PeerMessage) {
    let now = board.now;
    if let PeerMessage::TargetCold { target, instance } = message
        && let Some(view) = board.targets.get_mut(target)
    {
        view.warmth.hear_cold(*instance, now);
        board.prefixes.forget_target(target, now);
    }
}
