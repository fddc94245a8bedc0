//! Tests of the timeout of calls to the store.

use wasabipier_core::relay::answer_timeout::AnswerTimeout;

use crate::fixtures::millis;

/// Returns the times at which calls are answered by a store that takes `answer_ms`, and `None` for those given up.
fn call_store(timeout: &mut AnswerTimeout, answer_ms: u64) -> Option<u64> {
    if timeout.current() < millis(answer_ms) {
        timeout.record_timeout();
        return None;
    }
    timeout.record_answer(millis(answer_ms));
    Some(answer_ms)
}

/// Guards against nodes that never read a slow store: each call was given up after the same time.
#[test]
fn a_store_that_is_slower_than_the_timeout_is_read_after_some_calls() {
    let mut timeout = AnswerTimeout::new(millis(800));

    let answers: Vec<Option<u64>> = (0..5).map(|_| call_store(&mut timeout, 2_400)).collect();

    assert_eq!(answers, [None, None, Some(2_400), Some(2_400), Some(2_400)]);
}

#[test]
fn the_timeout_is_bounded_and_is_usual_again_once_the_store_is_fast() {
    let mut timeout = AnswerTimeout::new(millis(800));

    let outage: Vec<Option<u64>> = (0..10).map(|_| call_store(&mut timeout, 60_000)).collect();
    let bounded = timeout.current();
    call_store(&mut timeout, 4);

    assert!(outage.iter().all(Option::is_none));
    assert_eq!((bounded, timeout.current()), (millis(3_200), millis(800)));
}
