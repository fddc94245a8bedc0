//! Attempts that make no progress, and the permits that they hold.

use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document};

const DEADLINE: Duration = Duration::from_secs(5);

fn node(pool: PoolSpec) -> NodeFixture {
    NodeFixture::serving(document(&[pool], 3), Tuning::default())
}

fn engine() -> PoolSpec {
    PoolSpec { service: "coachmodel", kind: ServiceKind::Generate, ..PoolSpec::default() }
}

#[test]
fn a_stream_that_goes_silent_is_resumed_elsewhere_at_the_next_token() {
    let mut node = node(engine());
    let call = node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let first = node.orders[0].clone();
    node.token(first.attempt, 0);
    node.token(first.attempt, 1);

    node.advance(Duration::from_millis(1_100));

    assert_eq!(node.cancelled, [first.attempt]);
    let second = node.orders[1].clone();
    assert_eq!(second.resume_from, 2);
    assert_ne!(second.target, first.target);
    node.token(first.attempt, 2);
    node.token(second.attempt, 2);
    node.finish(second.attempt);
    assert_eq!(&*node.answer(call).expect("an answer").body, "t0 t1 t2 ");
    assert_eq!(node.core.board().counters.stray_results, 1);
}

#[test]
fn a_stream_that_moves_on_is_left_alone() {
    let mut node = node(engine());
    node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let attempt = node.orders[0].attempt;

    for index in 0..4 {
        node.advance(Duration::from_millis(900));
        node.token(attempt, index);
    }

    assert!(node.cancelled.is_empty());
    assert_eq!(node.orders.len(), 1);
}

#[test]
fn a_permit_of_an_attempt_that_was_given_up_is_used_again_only_after_its_end() {
    let mut node = node(PoolSpec { targets: 1, limits: (1, 1), ..engine() });
    node.ask("plan-1", "coachmodel", DEADLINE, Priority::Normal);
    let silent = node.orders[0].attempt;

    node.advance(Duration::from_millis(3_500));
    let orders_before = node.orders.len();
    node.fail(silent, FailureKind::Broken, true);

    assert_eq!((node.cancelled.as_slice(), orders_before), (&[silent][..], 1));
    assert_eq!(node.orders.len(), 2);
}

#[test]
fn a_call_that_must_not_be_repeated_ends_as_unknown_and_is_never_sent_again() {
    let mut node = node(PoolSpec { service: "bookings", repeatable: false, ..PoolSpec::default() });
    let call = node.ask("booking-1", "bookings", DEADLINE, Priority::Normal);

    node.advance(DEADLINE + Duration::from_secs(2));

    assert_eq!(node.orders.len(), 1);
    assert_eq!(node.answer(call).map(|answer| answer.outcome), Some(Outcome::Unknown));
}

#[test]
fn a_claimed_call_that_broke_after_it_was_sent_is_not_sent_again() {
    let mut node = node(PoolSpec { service: "bookings", repeatable: false, ..PoolSpec::default() });
    let call = node.ask("booking-1", "bookings", DEADLINE, Priority::Normal);
    let attempt = node.orders[0].attempt;

    node.fail(attempt, FailureKind::Broken, true);
    node.advance(DEADLINE);

    assert_eq!(node.orders.len(), 1);
    assert_eq!(node.answer(call).map(|answer| answer.outcome), Some(Outcome::Unknown));
}
