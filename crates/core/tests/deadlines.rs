//! One deadline over all stages of a request: early refusal, load shedding, time shares of stages, retries and hedges.

use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

const LONG_DEADLINE: Duration = Duration::from_secs(5);
const USUAL_DURATION: Duration = Duration::from_millis(200);

fn new_node(pool: PoolSpec, tuning: Tuning) -> NodeFixture {
    NodeFixture::serving(document(&[pool], 3), tuning)
}

/// Runs `count` calls of `goal` that each take `USUAL_DURATION`, so that the node has an estimate of their latency.
fn train_estimate(node: &mut NodeFixture, goal: &str, count: usize) {
    for number in 0..count {
        node.ask(&format!("taught-{goal}-{number}"), goal, LONG_DEADLINE, Priority::Normal);
        while let Some(request) = node.sent_attempts.pop() {
            node.advance(USUAL_DURATION);
            node.finish(request.attempt);
        }
    }
    node.sent_attempts.clear();
}

fn outcome_of(node: &NodeFixture, call: CallId) -> Option<(Outcome, Option<RefusalKind>)> {
    node.answer(call).map(|answer| (answer.outcome, answer.refusal))
}

#[test]
fn a_request_that_cannot_finish_before_its_deadline_is_refused_as_not_run() {
    let mut node = new_node(PoolSpec::default(), Tuning::default());
    train_estimate(&mut node, "clubs", 40);

    let call = node.ask("hasty", "clubs", USUAL_DURATION / 2, Priority::Interactive);

    assert_eq!(outcome_of(&node, call), Some((Outcome::NotRun, Some(RefusalKind::TooLate))));
    assert!(node.sent_attempts.is_empty());
}

#[test]
fn a_request_is_refused_if_the_queue_takes_too_long_unless_its_priority_is_higher() {
    let mut node = new_node(PoolSpec { targets: 1, limits: (2, 2), ..PoolSpec::default() }, Tuning::default());
    train_estimate(&mut node, "clubs", 40);
    for number in 0..12 {
        node.ask(&format!("held-{number}"), "clubs", LONG_DEADLINE, Priority::Normal);
    }

    let normal = node.ask("normal", "clubs", USUAL_DURATION * 3, Priority::Normal);
    let urgent = node.ask("urgent", "clubs", USUAL_DURATION * 3, Priority::Interactive);

    assert_eq!(outcome_of(&node, normal), Some((Outcome::NotRun, Some(RefusalKind::TooLate))));
    assert_eq!(outcome_of(&node, urgent), None);
}

#[test]
fn a_full_queue_drops_batch_work_for_a_normal_request_and_refuses_a_later_deadline() {
    let tuning = Tuning { max_queue_length: 2, ..Tuning::default() };
    let mut node = new_node(PoolSpec { targets: 1, limits: (1, 1), ..PoolSpec::default() }, tuning);
    node.ask("running", "clubs", LONG_DEADLINE, Priority::Normal);
    let batch = node.ask("batch", "clubs", LONG_DEADLINE, Priority::Batch);
    let early = node.ask("early", "clubs", LONG_DEADLINE / 2, Priority::Normal);

    let normal = node.ask("normal", "clubs", LONG_DEADLINE, Priority::Normal);
    let late = node.ask("late", "clubs", LONG_DEADLINE * 2, Priority::Normal);

    let overloaded = Some((Outcome::NotRun, Some(RefusalKind::Overloaded)));
    assert_eq!(outcome_of(&node, batch), overloaded);
    assert_eq!(outcome_of(&node, late), overloaded);
    assert_eq!((outcome_of(&node, early), outcome_of(&node, normal)), (None, None));
}

#[test]
fn a_slow_call_is_hedged_and_the_first_result_wins() {
    let mut node = new_node(PoolSpec::default(), Tuning::default());
    train_estimate(&mut node, "clubs", 40);
    node.charges.clear();
    let call = node.ask("slow", "clubs", LONG_DEADLINE, Priority::Normal);
    let slow = node.sent_attempts[0].clone();

    node.advance(USUAL_DURATION * 3);
    let hedge = node.sent_attempts[1].clone();
    node.finish(hedge.attempt);
    node.finish(slow.attempt);

    assert_ne!(hedge.target, slow.target);
    assert_eq!(node.cancelled, [slow.attempt]);
    assert_eq!(node.answer(call).map(|answer| (answer.outcome, answer.charges.len())), Some((Outcome::Done, 1)));
    assert_eq!(node.charges.iter().map(|line| line.attempt).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_non_repeatable_call_is_not_hedged() {
    let pool = PoolSpec { service: "bookings", repeatable: false, ..PoolSpec::default() };
    let mut node = new_node(pool, Tuning::default());
    train_estimate(&mut node, "bookings", 40);
    node.ask("booking", "bookings", LONG_DEADLINE, Priority::Normal);

    node.advance(LONG_DEADLINE + USUAL_DURATION);

    assert_eq!(node.sent_attempts.len(), 1);
}

#[test]
fn a_stage_that_exceeds_its_time_share_is_retried_while_time_is_left() {
    let pools = [
        PoolSpec { service: "encoder", kind: ServiceKind::Encode, ..PoolSpec::default() },
        PoolSpec { service: "reranker", kind: ServiceKind::Rerank, ..PoolSpec::default() },
    ];
    let mut node = NodeFixture::serving(document(&pools, 3), Tuning { hedging: false, ..Tuning::default() });
    train_estimate(&mut node, "encoder", 40);
    train_estimate(&mut node, "reranker", 40);
    node.ask("plan-1", "plan", Duration::from_secs(1), Priority::Normal);

    node.advance(Duration::from_millis(540));

    assert_eq!(node.sent_attempts.iter().map(|request| request.stage).collect::<Vec<_>>(), [0, 0]);
    assert_eq!(node.cancelled, [node.sent_attempts[0].attempt]);
}

#[test]
fn retries_stop_when_the_retry_budget_is_used_up() {
    let tuning = Tuning { retry_burst: 1.0, retry_ratio: 0.0, ..Tuning::default() };
    let mut node = new_node(PoolSpec::default(), tuning);
    let call = node.ask("unlucky", "clubs", LONG_DEADLINE, Priority::Normal);

    for _ in 0..3 {
        while let Some(request) = node.sent_attempts.pop() {
            node.fail(request.attempt, FailureKind::Faulted, true);
        }
        node.advance(TICK * 10);
    }

    assert_eq!(outcome_of(&node, call), Some((Outcome::Unknown, Some(RefusalKind::AttemptsFailed))));
    assert_eq!((node.core.board().counters.attempts, node.core.board().counters.retries), (2, 1));
}
