//! Stages of a request: handles the tokens, answers and failures of attempts, and moves requests to their next stage.
//! Each token of a stream is accepted once and in order.

use std::sync::Arc;
use std::time::Duration;

use crate::action::{Action, AnswerPart};
use crate::blackboard::Blackboard;
use crate::burn::scoring;
use crate::clock::IntervalTimer;
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

/// Handles the events of attempts and moves requests from stage to stage.
#[derive(Debug, Default)]
pub struct StageController {
    stale_limit_timer: IntervalTimer,
}

impl StageController {
    /// Interval of checks for targets whose limit was not confirmed for too long, and which then count as cold.
    const STALE_LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
}

impl Controller for StageController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Attempt(id, AttemptEvent::Token { index, text }) => handle_token(board, *id, *index, text, out),
            Event::Attempt(id, AttemptEvent::Finished { body, usage, report }) => {
                handle_finished(board, *id, body, *usage, report, out);
            }
            Event::Attempt(id, AttemptEvent::Failed { kind, sent }) => handle_failed(board, *id, *kind, *sent, out),
            Event::LoadReported(target, report) => handle_report(board, target, report, out),
            Event::Cached(target, report) => board.prefixes.record_cache_report(target, report, board.now),
            Event::Peer(from, message) => handle_peer(board, from, message),
            Event::Tick => {
                conclude::release_drained(board, out);
                if self.stale_limit_timer.is_due(Self::STALE_LIMIT_CHECK_INTERVAL, board.now) {
                    board.targets.reset_stale_limits(&board.tuning, board.now);
                }
            }
            _ => {}
        }
    }
}

fn handle_token(board: &mut Blackboard, id: AttemptId, index: u32, text: &Arc<str>, out: &mut Vec<Action>) {
    let now = board.now;
    let Some(progress) = board.requests.record_token(id, board.tuning.ramp_step_duration, now) else {
        board.counters.stray_results += 1;
        return;
    };
    if progress.is_first {
        // The shorter timeout between two tokens applies after the first token.
        board.watches.schedule(id, now + board.tuning.stream_idle_timeout);
    }
    if let Some((target, started)) = &progress.newly_sustained
        && let Some(view) = board.targets.get_mut(target)
        && view.warmth.record_stream_progress(*started, &board.tuning, now)
    {
        board.permits.record_limit_increase(target);
    }
    let record = progress.record;
    let expected = record.tokens.len() as u32;
    if index < expected {
        board.counters.stray_results += 1;
        return;
    }
    if index > expected {
        if let Some(attempt) = conclude::cancel_attempt(board, id, out) {
            fail_attempt(board, &attempt, FailureKind::Malformed, true, out);
        }
        return;
    }
    record.tokens.push(text.clone());
    if record.is_at_last_stage() {
        for call in &record.callers {
            out.push(Action::Answer(*call, AnswerPart::Token { index, text: text.clone() }));
        }
    }
}

fn handle_finished(
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
    if !is_complete(board, &attempt, body) {
        fail_attempt(board, &attempt, FailureKind::Malformed, true, out);
        return;
    }
    scoring::count_attempt(board, &attempt, true);
    hedges::cancel_losers(board, &attempt, out);
    record_success(board, &attempt, report, out);
    let charge = build_charge(&attempt, usage);
    board.counters.charges += 1;
    out.push(Action::Charge(Box::new(charge.clone())));
    let document = board.document.clone();
    let Some(record) = board.requests.get_mut(&attempt.key) else { return };
    record.charges.push(charge);
    let is_streaming = is_stream(&document.content, record.service());
    let answer_body = if is_streaming { Arc::from(record.tokens.concat()) } else { body.clone() };
    if record.is_at_last_stage() {
        let charges = record.charges.clone();
        let answer = FinalAnswer { outcome: Outcome::Done, refusal: None, body: answer_body, charges };
        let content = record.content;
        if board.harmful.clear_content(content) {
            harmful::announce(board, content, out);
        }
        conclude::end_request(board, &attempt.key, &answer, out);
        return;
    }
    board.requests.advance_stage(&attempt.key, answer_body);
    requeue(board, &attempt.key);
}

/// Returns whether the received tokens of a stream are all that its attempt produced.
fn is_complete(board: &Blackboard, attempt: &AttemptRecord, body: &Arc<str>) -> bool {
    let Some(record) = board.requests.get(&attempt.key) else { return true };
    let attempt_tokens = record.tokens.get(attempt.resume_from as usize..).unwrap_or_default();
    !attempt.is_stream || attempt_tokens.concat() == **body
}

fn build_charge(attempt: &AttemptRecord, usage: Usage) -> ChargeLine {
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

/// Sets a request to `Queued` and adds it to the queue of its current stage.
pub(crate) fn requeue(board: &mut Blackboard, key: &RequestKey) {
    let Some(record) = board.requests.get_mut(key) else { return };
    record.state = RequestState::Queued;
    let (service, priority, request) = (record.service().clone(), record.priority, record.queue_entry());
    board.queues.queue_mut(&service).push(priority, request);
}

fn record_success(board: &mut Blackboard, attempt: &AttemptRecord, report: &LoadReport, out: &mut Vec<Action>) {
    let now = board.now;
    handle_report(board, &attempt.target, report, out);
    board.stage_times.record_latency(&attempt.service, now.since(attempt.started));
    let view = board.targets.get_mut(&attempt.target);
    let has_turned_cold = view.is_some_and(|view| {
        view.record_call_time(now.since(attempt.started));
        view.record_success(attempt.served_call(now), &board.tuning, now)
    });
    if has_turned_cold {
        send_target_cold(board, &attempt.target, out);
    }
    counting::count_success(board, attempt, report);
}

fn handle_failed(board: &mut Blackboard, id: AttemptId, kind: FailureKind, sent: bool, out: &mut Vec<Action>) {
    // After a silent or broken connection, the target may still run the attempt.
    let may_still_run = sent && matches!(kind, FailureKind::Silent | FailureKind::Broken);
    let ended = if may_still_run { conclude::drain_attempt(board, id) } else { conclude::end_attempt(board, id, out) };
    if let Some(attempt) = ended {
        fail_attempt(board, &attempt, kind, sent, out);
        return;
    }
    // The attempt was cancelled earlier and has now ended. No request waits for it, but its permit becomes free.
    if kind == FailureKind::Silent || !conclude::end_draining(board, id, out) {
        board.counters.stray_results += 1;
    }
}

/// Cancels an attempt that makes no progress or runs late, records its duration so far as a latency, and handles the
/// attempt as failed with `kind`.
pub(crate) fn abandon_attempt(board: &mut Blackboard, id: AttemptId, kind: FailureKind, out: &mut Vec<Action>) {
    if let Some(attempt) = conclude::cancel_attempt(board, id, out) {
        board.stage_times.record_latency(&attempt.service, board.now.since(attempt.started));
        fail_attempt(board, &attempt, kind, true, out);
    }
}

fn fail_attempt(board: &mut Blackboard, attempt: &AttemptRecord, kind: FailureKind, sent: bool, out: &mut Vec<Action>) {
    if kind != FailureKind::Rejected {
        scoring::count_attempt(board, attempt, false);
    }
    record_failure(board, attempt, kind, sent, out);
    let Some(record) = board.requests.get_mut(&attempt.key) else { return };
    let may_have_run = sent && !matches!(kind, FailureKind::Full | FailureKind::Rejected);
    record.may_have_run |= may_have_run;
    record.failed_targets.insert(attempt.target.clone());
    if kind == FailureKind::Rejected {
        conclude::fail(board, &attempt.key, RefusalKind::Rejected, out);
        return;
    }
    if record.claim.is_some() && record.may_have_run {
        conclude::fail(board, &attempt.key, RefusalKind::Unsettled, out);
        return;
    }
    if !record.running.is_empty() {
        // The other attempt of a hedge is still running.
        return;
    }
    retry_or_fail(board, &attempt.key, content_of(board, &attempt.key), may_have_run, out);
}

fn content_of(board: &Blackboard, key: &RequestKey) -> Option<Fingerprint> {
    board.requests.get(key).map(|record| record.content)
}

fn retry_or_fail(
    board: &mut Blackboard,
    key: &RequestKey,
    content: Option<Fingerprint>,
    uses_budget: bool,
    out: &mut Vec<Action>,
) {
    let Some(record) = board.requests.get(key) else { return };
    if content.is_some_and(|content| board.harmful.count_crashed_targets(content) >= board.tuning.harmful_crash_limit) {
        board.counters.harmful_refused += 1;
        conclude::fail(board, key, RefusalKind::Harmful, out);
        return;
    }
    if record.stage_attempts >= board.tuning.max_attempts {
        conclude::fail(board, key, RefusalKind::AttemptsFailed, out);
        return;
    }
    if uses_budget && !board.budget.spend() {
        board.counters.retries_denied += 1;
        conclude::fail(board, key, RefusalKind::AttemptsFailed, out);
        return;
    }
    board.counters.retries += 1;
    schedule_retry(board, key, uses_budget);
}

/// Queues a request again, at once or after a backoff. The first retry after an attempt that may have run has no
/// backoff, since another target takes it.
fn schedule_retry(board: &mut Blackboard, key: &RequestKey, may_have_run: bool) {
    let Some(attempts) = board.requests.get(key).map(|record| record.stage_attempts) else { return };
    if may_have_run && attempts < 2 {
        return requeue(board, key);
    }
    let at = board.now + retries::compute_backoff(board, attempts);
    if let Some(record) = board.requests.get_mut(key) {
        record.state = RequestState::Delayed;
        board.retries.schedule(key.clone(), at);
    }
}

fn record_failure(
    board: &mut Blackboard,
    attempt: &AttemptRecord,
    kind: FailureKind,
    sent: bool,
    out: &mut Vec<Action>,
) {
    let now = board.now;
    let has_turned_cold = board.targets.get_mut(&attempt.target).is_some_and(|view| view.record_failure(kind, now));
    if has_turned_cold {
        send_target_cold(board, &attempt.target, out);
    }
    if sent && kind == FailureKind::Broken {
        record_crash(board, attempt, out);
    } else if matches!(kind, FailureKind::Faulted | FailureKind::Malformed | FailureKind::Silent) {
        counting::count_fault(board, attempt);
    }
}

/// Records that a target's connection broke while the target ran the attempt's content, which may be the cause.
/// Announces the content to peers if this target was not known to have crashed with it.
fn record_crash(board: &mut Blackboard, attempt: &AttemptRecord, out: &mut Vec<Action>) {
    let Some(content) = content_of(board, &attempt.key) else { return };
    counting::count_crash(board, attempt, board.harmful.count_crashed_targets(content) == 0);
    if !board.harmful.record_crash(content, attempt.target.clone()) {
        return;
    }
    harmful::announce(board, content, out);
}

fn handle_report(board: &mut Blackboard, target: &TargetName, report: &LoadReport, out: &mut Vec<Action>) {
    let now = board.now;
    let has_turned_cold = board.targets.get_mut(target).is_some_and(|view| view.record_load_report(report, now));
    if has_turned_cold {
        board.prefixes.forget_target(target, now);
        send_target_cold(board, target, out);
    }
}

fn send_target_cold(board: &Blackboard, target: &TargetName, out: &mut Vec<Action>) {
    let Some(view) = board.targets.get(target) else { return };
    for (node, _) in board.members.alive() {
        let message = PeerMessage::TargetCold { target: target.clone(), instance: view.warmth.instance() };
        out.push(Action::SendToPeer(node.clone(), Box::new(message)));
    }
}

fn handle_peer(board: &mut Blackboard, _from: &NodeName, message: &PeerMessage) {
    let now = board.now;
    if let PeerMessage::TargetCold { target, instance } = message
        && let Some(view) = board.targets.get_mut(target)
    {
        view.warmth.apply_peer_cold_report(*instance, now);
        board.prefixes.forget_target(target, now);
    }
}
