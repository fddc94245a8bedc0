//! Attempts that make no progress or whose connections break: which are sent again, which never, and when their permits
//! are freed.

use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document};

const DEADLINE: Duration = Duration::from_secs(5);

fn new_node(pool: PoolSpec) -> NodeFixture {
    NodeFixture::serving(document(&[pool], 3), Tuning::default())
}

fn engine_pool() -> PoolSpec {
    PoolSpec { service: "coachmodel", kind: ServiceKind::Generate, ..PoolSpec::default() }
}

#[test]
fn a_silent_stream_is_resumed_on_another_target_at_the_next_token() {
    let mut node = new_node(engine_pool());
    let call = node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let first = node.sent_attempts[0].clone();
    node.deliver_token(first.attempt, 0);
    node.deliver_token(first.attempt, 1);

    node.advance(Duration::from_millis(1_100));

    assert_eq!(node.cancelled, [first.attempt]);
    let second = node.sent_attempts[1].clone();
    assert_eq!(second.resume_from, 2);
    assert_ne!(second.target, first.target);
    node.deliver_token(first.attempt, 2);
    node.deliver_token(second.attempt, 2);
    node.finish(second.attempt);
    assert_eq!(&*node.answer(call).expect("an answer").body, "t0 t1 t2 ");
    assert_eq!(node.core.board().counters.stray_results, 1);
}

#[test]
fn a_slow_stream_that_keeps_sending_tokens_is_not_cancelled() {
    let mut node = new_node(engine_pool());
    node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let attempt = node.sent_attempts[0].attempt;

    for index in 0..4 {
        node.advance(Duration::from_millis(900));
        node.deliver_token(attempt, index);
    }

    assert!(node.cancelled.is_empty());
    assert_eq!(node.sent_attempts.len(), 1);
}

#[test]
fn a_permit_of_a_cancelled_attempt_is_reused_only_after_the_attempt_ends() {
    let mut node = new_node(PoolSpec { targets: 1, limits: (1, 1), ..engine_pool() });
    node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let silent = node.sent_attempts[0].attempt;

    node.advance(Duration::from_millis(3_500));
    let attempts_before = node.sent_attempts.len();
    node.fail(silent, FailureKind::Broken, true);

    assert_eq!((node.cancelled.as_slice(), attempts_before), (&[silent][..], 1));
    assert_eq!(node.sent_attempts.len(), 2);
}

#[test]
fn a_non_repeatable_call_without_a_result_ends_as_unknown_and_is_not_sent_again() {
    let mut node = new_node(PoolSpec { service: "bookings", repeatable: false, ..PoolSpec::default() });
    let call = node.ask("booking-1", "bookings", DEADLINE, Priority::Normal);

    node.advance(DEADLINE + Duration::from_secs(2));

    assert_eq!(node.sent_attempts.len(), 1);
    assert_eq!(node.answer(call).map(|answer| answer.outcome), Some(Outcome::Unknown));
}

#[test]
fn a_claimed_call_whose_connection_breaks_after_sending_is_not_sent_again() {
    let mut node = new_node(PoolSpec { service: "bookings", repeatable: false, ..PoolSpec::default() });
    let call = node.ask("booking-1", "bookings", DEADLINE, Priority::Normal);
    let attempt = node.sent_attempts[0].attempt;

    node.fail(attempt, FailureKind::Broken, true);
    node.advance(DEADLINE);

    assert_eq!(node.sent_attempts.len(), 1);
    assert_eq!(node.answer(call).map(|answer| answer.outcome), Some(Outcome::Unknown));
}
